package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/** How many of the recent arrivals of one kind were started. */
internal class StartedShare {
    private val arrived = DecayedCount(timeConstant)
    private val started = DecayedCount(timeConstant)

    fun recordArrival(now: Moment): Unit = arrived.add(1.0, now)

    fun recordStart(now: Moment): Unit = started.add(1.0, now)

    /** Returns the share of the arrivals that were started, 1 without arrivals. */
    fun at(now: Moment): Double {
        val arrivals = arrived.at(now)
        return if (arrivals <= 0.0) 1.0 else (started.at(now) / arrivals).coerceAtMost(1.0)
    }

    /** Returns whether the share stays at most [floor] even if one more call starts. */
    fun isBelow(
        floor: Double,
        now: Moment,
    ): Boolean = started.at(now) + 1.0 <= floor * arrived.at(now)

    private companion object {
        /** Long enough to hold a few calls of a rank that gets one a second at a guard. */
        val timeConstant = 10.seconds
    }
}
