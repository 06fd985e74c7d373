package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when a guard, the admission control in front of a backend server, pushes a load report to proxies.
 *
 * Answers contain the load too, but that value is as old as the last call between the two nodes. In a burst its age exceeds the duration of
 * a call, so that all proxies would choose the server that was idle at that time. A guard that always has free slots pushes only its first
 * report.
 */
public class LoadReportFilter {
    private var lastReported: GuardLoad? = null
    private var lastReportedAt = Moment.DISTANT_PAST

    /** Returns whether [load] must be reported, and if so records it as the last reported load. */
    public fun shouldReport(
        load: GuardLoad,
        now: Moment,
    ): Boolean {
        val isSignificant = lastReported?.let { differsSignificantly(it, load, now - lastReportedAt) } ?: true
        if (isSignificant) {
            lastReported = load
            lastReportedAt = now
        }
        return isSignificant
    }

    private fun differsSignificantly(
        before: GuardLoad,
        after: GuardLoad,
        age: Duration,
    ): Boolean {
        if (isAnotherRate(before.callsPerSecond, after.callsPerSecond)) return true
        if (isAnotherRate(before.slowdown ?: 1.0, after.slowdown ?: 1.0)) return true
        if (before.ranks.size != after.ranks.size || isFull(before) != isFull(after)) return true
        if (before.ranks.map { it.accepting } != after.ranks.map { it.accepting }) return true
        if (abs(before.linkWaitMilliseconds - after.linkWaitMilliseconds) >= MINIMUM_LINK_WAIT_CHANGE_MILLISECONDS) return true
        val isLoaded = isFull(after) || after.linkWaitMilliseconds >= MINIMUM_LINK_WAIT_CHANGE_MILLISECONDS
        if (isLoaded && age >= REPORT_INTERVAL_WHEN_FULL) return true
        return before.ranks.zip(after.ranks).any { (old, new) ->
            abs(old.estimatedWaitMilliseconds - new.estimatedWaitMilliseconds) >=
                MINIMUM_WAIT_CHANGE_MILLISECONDS
        }
    }

    // Proxies choose a server in proportion to its limit and its speed, so they must know when either appears, ends, or is of another order.
    private fun isAnotherRate(
        before: Double?,
        after: Double?,
    ): Boolean = if (before == null || after == null) before != after else maxOf(before, after) > minOf(before, after) * MAXIMUM_RATE_RATIO

    private fun isFull(load: GuardLoad): Boolean = load.running >= load.limit

    private companion object {
        /** A smaller change of the estimated wait does not justify choosing another server immediately. */
        const val MINIMUM_WAIT_CHANGE_MILLISECONDS = 25L

        /** About one answer of 90 KB at 10 Mbit/s. */
        const val MINIMUM_LINK_WAIT_CHANGE_MILLISECONDS = 100L

        /** A smaller change of the limit on calls a second, or of the slowdown, is left to the next answer. */
        const val MAXIMUM_RATE_RATIO = 1.5

        /** The interval of reports while no slot is free or answers wait for the link, about as long as proxies trust a reported load. */
        val REPORT_INTERVAL_WHEN_FULL = 500.milliseconds
    }
}
