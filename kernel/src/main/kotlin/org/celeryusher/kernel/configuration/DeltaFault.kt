package org.celeryusher.kernel.configuration

import arrow.core.NonEmptyList

/** The reason why a [ConfigurationDelta] cannot be applied. In each case the whole document must be requested instead. */
public sealed interface DeltaFault {
    /** The text is not an encoded delta. */
    public data class Malformed(
        public val message: String,
    ) : DeltaFault

    /** The delta applies to [expected], but this node holds [held]. */
    public data class BaseMismatch(
        public val expected: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : DeltaFault

    /** The result is a valid document, but its digest is [found] instead of [expected]. */
    public data class TargetMismatch(
        public val expected: ConfigurationDigest,
        public val found: ConfigurationDigest,
    ) : DeltaFault

    /** The result is not a valid document. */
    public data class InvalidTarget(
        public val faults: NonEmptyList<ConfigurationFault>,
    ) : DeltaFault
}
