package org.celeryusher.kernel.distribution

import arrow.core.NonEmptyList
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.time.Moment

/** A decision about a node's configuration that is kept for operators, with the moment [at] which it was made. */
public sealed interface HolderEvent {
    public val at: Moment
    public val source: ConfigurationSource

    /** A configuration was put in force. See [OfferDecision.InForce.belowFloor] for [belowFloor]. */
    public data class PutInForce(
        override val at: Moment,
        override val source: ConfigurationSource,
        public val digest: ConfigurationDigest,
        public val belowFloor: Long?,
    ) : HolderEvent

    /** A document was refused. [version] is null when the version could not be read. */
    public data class Refused(
        override val at: Moment,
        override val source: ConfigurationSource,
        public val version: Long?,
        public val faults: NonEmptyList<ConfigurationFault>,
    ) : HolderEvent

    /** A configuration was refused because it has the held version but different content. */
    public data class Conflict(
        override val at: Moment,
        override val source: ConfigurationSource,
        public val offered: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : HolderEvent
}
