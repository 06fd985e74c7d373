package org.celeryusher.kernel.distribution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.InstanceName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The longest configuration document, in [bytes] as published, with which the node beside [instance] takes to be asked for the platform's
 * data: with a longer one it declines, since each read would occupy its link for too long.
 *
 * Nodes pass on limits rather than who declines: a limit stays true when the document in force becomes shorter or longer.
 */
@Serializable
public data class DocumentLimit(
    @SerialName("i") public val instance: InstanceName,
    @SerialName("b") public val bytes: Long,
) {
    public companion object {
        private const val BYTES_PER_MEGABIT = 125_000.0

        /**
         * Returns the number of bytes that a link of [megabitsPerSecond] carries within [longestTime].
         *
         * Null, which is no limit, if the rate is not stated or is no positive number.
         */
        public fun bytesWithin(
            longestTime: Duration,
            megabitsPerSecond: Double?,
        ): Long? =
            megabitsPerSecond
                ?.takeIf { it > 0.0 }
                ?.let { (it * BYTES_PER_MEGABIT * longestTime.toDouble(DurationUnit.SECONDS)).toLong() }

        /** Returns whether a node with the limit [bytes], or null for none, declines with a document of [documentBytes], or null for none. */
        public fun declines(
            bytes: Long?,
            documentBytes: Int?,
        ): Boolean = bytes != null && documentBytes != null && documentBytes > bytes
    }
}
