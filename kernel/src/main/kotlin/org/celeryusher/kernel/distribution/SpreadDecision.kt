package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.InstanceName

/** What a node does after a peer announced its configuration. */
public sealed interface SpreadDecision {
    /** Do nothing: the peer has nothing newer, or a pull is already in progress. */
    public data object Nothing : SpreadDecision

    /** Pull [announced] from [peer], and report the end of the pull by [SpreadPlanner.pullEnded]. */
    public data class Pull(
        public val peer: InstanceName,
        public val announced: ConfigurationDigest,
    ) : SpreadDecision

    /** The peer has the same version with different content. Report the conflict, and transfer nothing in either direction. */
    public data class Conflict(
        public val peer: InstanceName,
        public val announced: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : SpreadDecision
}
