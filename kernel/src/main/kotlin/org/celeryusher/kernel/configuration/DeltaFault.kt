package org.celeryusher.kernel.configuration

import arrow.core.NonEmptyList

/** Why a [ConfigurationDelta] could not be used. The answer to each is to ask for the whole document. */
public sealed interface DeltaFault {
    /** The text is not a delta. */
    public data class Malformed(
        public val message: String,
    ) : DeltaFault

    /** The delta is for holders of [expected], and this node holds [held]. */
    public data class OtherBase(
        public val expected: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : DeltaFault

    /** The outcome is valid but is [found] in place of [expected]. */
    public data class OtherTarget(
        public val expected: ConfigurationDigest,
        public val found: ConfigurationDigest,
    ) : DeltaFault

    /** The outcome is not a valid document. */
    public data class InvalidTarget(
        public val faults: NonEmptyList<ConfigurationFault>,
    ) : DeltaFault
}
