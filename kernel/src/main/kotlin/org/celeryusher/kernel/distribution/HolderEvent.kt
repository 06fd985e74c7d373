package org.celeryusher.kernel.distribution

import arrow.core.NonEmptyList
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.time.Moment

/** Something that happened to a node's configuration and that an operator may ask about, [at] the moment of the decision. */
public sealed interface HolderEvent {
    public val at: Moment
    public val source: ConfigurationSource

    /** A version was put in force; [belowFloor] as in [OfferDecision.InForce]. */
    public data class Taken(
        override val at: Moment,
        override val source: ConfigurationSource,
        public val digest: ConfigurationDigest,
        public val belowFloor: Long?,
    ) : HolderEvent

    /** A document was refused; [version] is null when not even that could be read. */
    public data class Refused(
        override val at: Moment,
        override val source: ConfigurationSource,
        public val version: Long?,
        public val faults: NonEmptyList<ConfigurationFault>,
    ) : HolderEvent

    /** A configuration with the number of the held version and other content was refused. */
    public data class Conflict(
        override val at: Moment,
        override val source: ConfigurationSource,
        public val offered: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : HolderEvent
}
