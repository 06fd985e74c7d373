package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.RouteName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Estimates how long a retrying caller has already waited, from the usual deadline of first tries on the same route.
 *
 * The target latency counts from a caller's first try, but a retry states only the remaining time as its deadline. This matters in an
 * overload in which half of the callers retry after a refusal. First tries on a route have similar deadlines and retries have shorter ones,
 * so a call whose deadline is clearly shorter than the upper quartile of recent calls is a retry. The estimate is a lower bound, because a
 * caller that is wrongly considered late is served after all others. This class is not thread-safe.
 */
public class CallerWaitEstimator {
    private class RecentDeadlines {
        private val samples = LongArray(WINDOW_SIZE)
        private var count = 0L

        /** The upper quartile of the deadlines of recent calls in milliseconds, or 0 until there are [MINIMUM_CALLS]. */
        var upperQuartile = 0L
            private set

        fun add(milliseconds: Long) {
            samples[(count % WINDOW_SIZE).toInt()] = milliseconds
            count += 1
            if (count >= MINIMUM_CALLS && count % CALLS_BETWEEN_ESTIMATES == 0L) {
                val sorted = samples.copyOf(minOf(count, WINDOW_SIZE.toLong()).toInt()).apply { sort() }
                upperQuartile = sorted[sorted.size * 3 / 4]
            }
        }
    }

    private val routes = LinkedHashMap<RouteName, RecentDeadlines>()

    /** Records a call on [route] with a deadline of [milliseconds], and returns a lower bound of the time since its caller's first try. */
    public fun elapsedSinceFirstTry(
        route: RouteName,
        milliseconds: Long,
    ): Duration {
        if (routes.size >= MAXIMUM_ROUTES && route !in routes) routes.remove(routes.keys.first())
        val recent = routes.getOrPut(route, ::RecentDeadlines)
        recent.add(milliseconds)
        val lowestFirstTry = (recent.upperQuartile * (1.0 - FIRST_TRY_SPREAD)).toLong()
        return (lowestFirstTry - milliseconds).coerceAtLeast(0).milliseconds
    }

    private companion object {
        /** The number of recent calls per route: a few seconds of calls at one node, so that the estimate follows changes quickly. */
        private const val WINDOW_SIZE = 64
        private const val MINIMUM_CALLS = 16
        private const val CALLS_BETWEEN_ESTIMATES = 8

        /** The share by which the deadlines of first tries on one route differ. */
        private const val FIRST_TRY_SPREAD = 0.15

        /** Limits the memory used for routes that no longer exist. */
        private const val MAXIMUM_ROUTES = 1_024
    }
}
