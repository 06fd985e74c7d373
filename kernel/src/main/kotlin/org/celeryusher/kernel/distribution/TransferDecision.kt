package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest
import kotlin.time.Duration

/** The answer of a node to a pull from a peer. */
public sealed interface TransferDecision {
    /** Nothing to send: the peer holds the same or a newer version, or this node has nothing in force. */
    public data object Nothing : TransferDecision

    /** The encoded [org.celeryusher.kernel.configuration.ConfigurationDelta] from the configuration that the peer holds. */
    public data class Delta(
        public val target: ConfigurationDigest,
        public val text: String,
    ) : TransferDecision

    /** The whole document in canonical JSON. */
    public data class Whole(
        public val target: ConfigurationDigest,
        public val text: String,
    ) : TransferDecision

    /** This node is at its limit of transfers or bytes. The peer may ask another node, or this one again after [retryAfter]. */
    public data class Busy(
        public val retryAfter: Duration,
    ) : TransferDecision
}
