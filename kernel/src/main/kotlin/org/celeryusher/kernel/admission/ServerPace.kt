package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long work takes on a backend server now, as a multiple of the usual time, from what the server states in its answers.
 *
 * Addresses servers whose speed changes many times a second. A statement counts for [FRESHNESS]; after that only the average of the
 * statements is known. Service times are divided by the slowdown during the call before they are averaged, and the average is multiplied by
 * the present slowdown, so that an estimate follows the server before the first call has ended at its new speed. Without statements every
 * factor is 1.
 */
internal class ServerPace {
    private var latest = 1.0
    private var latestAt = Moment.DISTANT_PAST
    private var average = 1.0

    /** Whether the server has stated its slowdown since its start. */
    var isStated = false
        private set

    /** Records that the server stated [slowdown]. */
    fun state(
        slowdown: Double,
        now: Moment,
    ) {
        val bounded = slowdown.coerceIn(MINIMUM, MAXIMUM)
        average = if (isStated) average + AVERAGE_WEIGHT * (bounded - average) else bounded
        isStated = true
        latest = bounded
        latestAt = now
    }

    /** Forgets everything, since another process of the server runs. */
    fun reset() {
        latest = 1.0
        latestAt = Moment.DISTANT_PAST
        average = 1.0
        isStated = false
    }

    /** Returns the slowdown stated recently before [now], or null if there is none. */
    fun slowdown(now: Moment): Double? = if (isStated && now - latestAt <= FRESHNESS) latest else null

    /** Returns the factor on the usual service time at [now]. */
    fun factor(now: Moment): Double = slowdown(now) ?: average

    companion object {
        /** The speed of a server changes about every 600 ms, so that half of that is the expected rest at a random time. */
        val FRESHNESS = 300.milliseconds
        private const val AVERAGE_WEIGHT = 0.02

        /** Statements beyond these bounds would make an estimate meaningless for as long as it is remembered. */
        private const val MINIMUM = 0.1
        private const val MAXIMUM = 20.0
    }
}
