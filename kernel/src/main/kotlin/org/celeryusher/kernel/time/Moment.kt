package org.celeryusher.kernel.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of the monotonic clock of a process, in nanoseconds since an arbitrary origin.
 *
 * Use this type for all times that decisions compare: deadlines, ages, backoff. It is not affected when the wall clock is set. It must
 * not be sent to another process, whose origin differs: send a [Duration] (remaining time, age) instead.
 */
@JvmInline
public value class Moment(
    public val nanoseconds: Long,
) : Comparable<Moment> {
    /** Returns the moment [duration] after this one. An infinite duration results in [FAR_FUTURE] or [DISTANT_PAST]. */
    public operator fun plus(duration: Duration): Moment =
        when {
            duration.isInfinite() -> if (duration.isPositive()) FAR_FUTURE else DISTANT_PAST
            else -> Moment(saturatingAdd(nanoseconds, duration.inWholeNanoseconds))
        }

    /** Returns the moment [duration] before this one. */
    public operator fun minus(duration: Duration): Moment = plus(-duration)

    /** Returns the time from [other] to this moment, negative if [other] is later. */
    public operator fun minus(other: Moment): Duration = nanoseconds.nanoseconds - other.nanoseconds.nanoseconds

    override fun compareTo(other: Moment): Int = nanoseconds.compareTo(other.nanoseconds)

    public companion object {
        /** A moment before all readings of a clock. */
        public val DISTANT_PAST: Moment = Moment(Long.MIN_VALUE / 4)

        /** A moment after all readings of a clock. */
        public val FAR_FUTURE: Moment = Moment(Long.MAX_VALUE / 4)

        private fun saturatingAdd(
            left: Long,
            right: Long,
        ): Long {
            val sum = left + right
            val overflowed = ((left xor sum) and (right xor sum)) < 0
            return if (overflowed) (if (left < 0) DISTANT_PAST.nanoseconds else FAR_FUTURE.nanoseconds) else sum
        }
    }
}
