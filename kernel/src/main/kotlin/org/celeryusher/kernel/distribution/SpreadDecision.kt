package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.InstanceName

/** What a node does upon a peer's news of its configuration. */
public sealed interface SpreadDecision {
    /** Nothing: the peer has nothing newer, or a pull is on its way already. */
    public data object Nothing : SpreadDecision

    /** Ask [peer] for [announced]; report the outcome by [SpreadPlanner.pullEnded]. */
    public data class Pull(
        public val peer: InstanceName,
        public val announced: ConfigurationDigest,
    ) : SpreadDecision

    /** The peer has the same version with other content: report it, and send or take nothing. */
    public data class Conflict(
        public val peer: InstanceName,
        public val announced: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : SpreadDecision
}
