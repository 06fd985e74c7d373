package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Decides when a part of a large message may be sent on the link of the instance.
 *
 * Addresses large answers that fill a slow link: what the operating system has accepted can no longer be overtaken, so small answers of urgent calls
 * would wait behind all of it. Large messages are therefore handed over in parts, at somewhat less than the rate of the link; all other messages
 * are sent at once and use up the same credit. Not thread-safe.
 */
public class LinkSchedule(
    bytesPerSecond: Double,
    now: Moment,
) {
    /** The rate at which large messages and all others are sent together. */
    public val bytesPerSecond: Double = bytesPerSecond * USED_SHARE
    private val largestCredit = maxOf(this.bytesPerSecond * creditTime.toDouble(DurationUnit.SECONDS), PART_BYTES.toDouble())
    private var credit = largestCredit
    private var creditAt = now
    private var lastPartAt = now
    private var otherBytes = 0.0
    private val longestPause = (PART_BYTES / (this.bytesPerSecond * LEAST_SHARE_OF_LARGE)).seconds

    /** Returns the rate that is left to large messages, as the others have recently used the link. */
    public fun bytesPerSecondOfLarge(now: Moment): Double {
        refill(now)
        val others = otherBytes / averageTime.toDouble(DurationUnit.SECONDS)
        return (bytesPerSecond - others).coerceAtLeast(bytesPerSecond * LEAST_SHARE_OF_LARGE)
    }

    /** Records that [bytes] of other messages are sent. */
    public fun recordSent(
        bytes: Int,
        now: Moment,
    ) {
        refill(now)
        otherBytes += bytes
        credit = (credit - bytes).coerceAtLeast(-largestCredit)
    }

    /** Returns the credit for a part of [bytes] that was not sent. */
    public fun giveBack(bytes: Int) {
        credit += bytes
    }

    /** Takes the credit for a part of [bytes] and returns zero, or returns how long to wait before asking again. */
    public fun take(
        bytes: Int,
        now: Moment,
    ): Duration {
        refill(now)
        val untilCredit = if (credit > 0.0) Duration.ZERO else ((1.0 - credit) / bytesPerSecond).seconds
        val wait = minOf(untilCredit, (longestPause - (now - lastPartAt)).coerceAtLeast(Duration.ZERO))
        if (wait > Duration.ZERO) return wait
        credit -= bytes
        lastPartAt = now
        return Duration.ZERO
    }

    private fun refill(now: Moment) {
        val elapsed = (now - creditAt).coerceAtLeast(Duration.ZERO)
        credit = minOf(largestCredit, credit + bytesPerSecond * elapsed.toDouble(DurationUnit.SECONDS))
        otherBytes *= exp(-(elapsed / averageTime))
        creditAt = now
    }

    public companion object {
        /** The size of a part, and from which on a message is large: about 13 ms on a link of 10 Mbit/s. */
        public const val PART_BYTES: Int = 16_384

        /** Leaves room for the headers of packets and for acknowledgements. */
        private const val USED_SHARE = 0.9

        /** The share of the link that large messages get even if all others would fill it. */
        private const val LEAST_SHARE_OF_LARGE = 0.1

        /** The credit that an idle link collects, so that a timer that fires late does not leave the link idle. */
        private val creditTime = 20.milliseconds

        /** The time over which the use of the link by other messages is averaged, about as long as a large message may wait. */
        private val averageTime = 1.seconds
    }
}
