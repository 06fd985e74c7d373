package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.InstanceName

/** What a node does after a peer announced its configuration. */
public sealed interface DisseminationDecision {
    /** Do nothing: the peer has nothing newer, or a pull is already in progress. */
    public data object Nothing : DisseminationDecision

    /** Pull [announced] from [peer], and report the end of the pull by [DisseminationPlanner.pullEnded]. */
    public data class Pull(
        public val peer: InstanceName,
        public val announced: ConfigurationDigest,
    ) : DisseminationDecision

    /** The peer has the same version with different content. Report the conflict, and transfer nothing in either direction. */
    public data class Conflict(
        public val peer: InstanceName,
        public val announced: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : DisseminationDecision
}
