package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest
import kotlin.time.Duration

/** What a node sends to a peer that pulls. */
public sealed interface TransferDecision {
    /** The peer holds the same, or a newer one, or this node has nothing in force. */
    public data object Nothing : TransferDecision

    /** The encoded [org.celeryusher.kernel.configuration.ConfigurationDelta] from what the peer holds. */
    public data class Delta(
        public val target: ConfigurationDigest,
        public val text: String,
    ) : TransferDecision

    /** The whole document in canonical JSON. */
    public data class Whole(
        public val target: ConfigurationDigest,
        public val text: String,
    ) : TransferDecision

    /** Too many transfers or bytes at present; the peer may ask another node, or this one [retryAfter] later. */
    public data class Busy(
        public val retryAfter: Duration,
    ) : TransferDecision
}
