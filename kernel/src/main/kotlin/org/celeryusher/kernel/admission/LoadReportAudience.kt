package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which of the connected proxies get a load report that a guard pushes.
 *
 * In a small fleet all of them do. In a large one, reports from each guard to each proxy would grow with the square of the fleet and use
 * more processor time and bandwidth than the calls. So the proxies that have recently called this guard take turns: a guard sends a bounded
 * number of reports a second whatever the size of the fleet. All proxies learn its load from each answer as well. Not thread-safe.
 */
public class LoadReportAudience {
    private var turn = 0

    /** Returns those of the [proxies], each with the time of its last call, that get the report that is pushed at [now]. */
    public fun <T> choose(
        proxies: List<Pair<T, Moment>>,
        now: Moment,
    ): List<T> {
        if (proxies.size <= MAXIMUM_RECEIVERS) return proxies.map { it.first }
        val recent = proxies.filter { (_, lastCallAt) -> now - lastCallAt <= recentlyCalled }.map { it.first }
        if (recent.size <= MAXIMUM_RECEIVERS) return recent
        val first = turn % recent.size
        turn = first + MAXIMUM_RECEIVERS
        return List(MAXIMUM_RECEIVERS) { recent[(first + it) % recent.size] }
    }

    public companion object {
        /** The number of proxies that get one report: with ten reports of 150 bytes a second, 24 KB/s, which is what control may take. */
        public const val MAXIMUM_RECEIVERS: Int = 16

        /** A proxy that calls a guard several times a second is likely to choose it again within this time. */
        private val recentlyCalled = 2.seconds
    }
}
