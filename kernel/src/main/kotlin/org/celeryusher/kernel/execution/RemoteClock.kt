package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A node's estimate of another node's clock: the reading [uptime] was received from it at the moment [receivedAt]. */
public data class RemoteClock(
    public val uptime: Uptime,
    public val receivedAt: Moment,
) {
    /**
     * Returns a lower bound of the other node's clock at [now].
     *
     * The result excludes the transit time of the reading and allows for a clock drift of one part in a thousand. A deadline computed from
     * it is therefore never too late, but may be too early by the transit time.
     */
    public fun lowerBoundAt(now: Moment): Uptime = uptime + (now - receivedAt) * (1 - MAXIMUM_CLOCK_DRIFT)

    private companion object {
        private const val MAXIMUM_CLOCK_DRIFT = 0.001
    }
}

/**
 * The readings of another node's clock, of which the one that was least delayed on its way counts.
 *
 * Addresses answers that wait on a saturated link or in a busy process: a deadline that is computed from such a reading alone is too early
 * by the whole delay. A reading counts for less than three times [window], since the clock of a suspended instance stands still. Immutable.
 */
public class RemoteClockReadings private constructor(
    private val windowStart: Moment,
    private val best: RemoteClock,
    private val bestBefore: RemoteClock?,
) {
    /** Begins with the first [reading]. */
    public constructor(reading: RemoteClock) : this(reading.receivedAt, reading, null)

    /** Returns the readings after [reading] has been received. */
    public fun with(reading: RemoteClock): RemoteClockReadings {
        val age = reading.receivedAt - windowStart
        return when {
            age < window -> RemoteClockReadings(windowStart, laterOf(best, reading, reading.receivedAt), bestBefore)
            age < window * 2 -> RemoteClockReadings(reading.receivedAt, reading, best)
            else -> RemoteClockReadings(reading)
        }
    }

    /** Returns the least delayed of the recent readings. */
    public fun leastDelayed(now: Moment): RemoteClock = bestBefore?.let { laterOf(it, best, now) } ?: best

    /** Returns how long ago the last window of readings began. */
    public fun age(now: Moment): Duration = now - windowStart

    private fun laterOf(
        first: RemoteClock,
        second: RemoteClock,
        now: Moment,
    ): RemoteClock = if (second.lowerBoundAt(now) >= first.lowerBoundAt(now)) second else first

    private companion object {
        /** Shorter than the time after which a suspended instance counts as undisturbed again, which is some seconds. */
        private val window = 1.seconds
    }
}
