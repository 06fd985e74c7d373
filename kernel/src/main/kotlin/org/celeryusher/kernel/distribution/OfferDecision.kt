package org.celeryusher.kernel.distribution

import arrow.core.NonEmptyList
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationFault

/** The outcome of offering a configuration to a [VersionHolder]. */
public sealed interface OfferDecision {
    /**
     * The offered configuration is now in force and replaces [previous] as a whole.
     *
     * [belowFloor] is the highest version that peers reported, if a lower one was put in force because the floor wait timed out, and null
     * otherwise.
     */
    public data class InForce(
        public val held: HeldConfiguration,
        public val previous: ConfigurationDigest?,
        public val belowFloor: Long? = null,
    ) : OfferDecision

    /** The offered configuration is already held. */
    public data class AlreadyHeld(
        public val digest: ConfigurationDigest,
    ) : OfferDecision

    /** The offered version is lower than the held one and is ignored. */
    public data class Older(
        public val offered: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : OfferDecision

    /** The offered configuration has the held version but different content. It is refused, and the held one stays in force. */
    public data class ConflictingContent(
        public val offered: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : OfferDecision

    /** The offered document has faults and is refused as a whole. If [repeated], its bytes were refused before and not parsed again. */
    public data class Refused(
        public val faults: NonEmptyList<ConfigurationFault>,
        public val repeated: Boolean,
    ) : OfferDecision

    /** The offered configuration is valid but waits for the [VersionFloor]. [floor] is the highest version reported so far, or null. */
    public data class WaitingForFloor(
        public val offered: ConfigurationDigest,
        public val floor: Long?,
    ) : OfferDecision
}
