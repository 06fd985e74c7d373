package org.celeryusher.kernel.distribution

import arrow.core.NonEmptyList
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationFault

/** What a [VersionHolder] did with a configuration that it was offered. */
public sealed interface OfferDecision {
    /**
     * The offered configuration is in force from now on, as a whole, in place of [previous].
     *
     * [belowFloor] is the version that peers reported when the wait for it ran out; null in all other cases.
     */
    public data class InForce(
        public val held: HeldConfiguration,
        public val previous: ConfigurationDigest?,
        public val belowFloor: Long? = null,
    ) : OfferDecision

    /** The offered configuration is the one that is held. */
    public data class AlreadyHeld(
        public val digest: ConfigurationDigest,
    ) : OfferDecision

    /** The offered version is lower than the held one, and is ignored. */
    public data class Older(
        public val offered: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : OfferDecision

    /** The offered configuration has the held version's number and other content: it is refused, and the held one stays. */
    public data class ConflictingContent(
        public val offered: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : OfferDecision

    /** The offered document has faults and is refused whole; [repeated] when the same bytes were refused before and not parsed again. */
    public data class Refused(
        public val faults: NonEmptyList<ConfigurationFault>,
        public val repeated: Boolean,
    ) : OfferDecision

    /** The offered configuration is valid, but waits until the version [floor] is known (null until then), reached or given up. */
    public data class HeldBelowFloor(
        public val offered: ConfigurationDigest,
        public val floor: Long?,
    ) : OfferDecision
}
