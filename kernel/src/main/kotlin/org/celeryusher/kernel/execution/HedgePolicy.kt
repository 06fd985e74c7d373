package org.celeryusher.kernel.execution

import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when and whether a proxy sends a second copy of a first attempt that takes longer than usual on its route.
 *
 * Addresses servers of one service of which a few are slow at any moment, so that a call that meets one of them takes a multiple of the
 * usual time. The usual latency is a high quantile of the route's recent first attempts at this node. The quantile follows from the share
 * that may be hedged, so that the copies go to the latest calls. Copies are sent only while there is free capacity: in an overload they
 * would add work and help nobody. Not thread-safe.
 */
public class HedgePolicy {
    private class RouteState {
        val latency = RecentLatency(WINDOW / 2)
        val shares = HedgeShareWindow(WINDOW)
    }

    private val routes = LinkedHashMap<RouteName, RouteState>()

    /**
     * Records that the first attempt of [call] is sent at [now].
     *
     * Returns after which time [decide] is to be called if the attempt has not ended, or null if the call is never hedged.
     */
    public fun begin(
        call: HedgeCall,
        now: Moment,
    ): Duration? {
        if (call.share <= 0.0 || !call.idempotent) return null
        val state = stateOf(call.route)
        state.shares.recordFirstAttempt(now)
        if (call.maximumAttempts < 2 || call.otherEndpoints < 1 || call.requestIsRetry || call.isSuspected) return null
        val usual = usualLatency(state, call.share, now) ?: return null
        return usual.takeIf { usual + medianLatency(state, now) < call.deadline.left(now) }
    }

    /** Returns whether a copy of [call] is sent to [candidate], or to no one when that is null, and if so counts it. */
    public fun decide(
        call: HedgeCall,
        candidate: HedgeCandidate?,
        now: Moment,
    ): HedgeDecision {
        val state = stateOf(call.route)
        val usual = usualLatency(state, call.share, now)
        return when {
            call.share <= 0.0 || !call.idempotent || call.maximumAttempts < 2 -> HedgeDecision.Refuse(HedgeRefusal.NOT_ALLOWED)
            candidate == null -> HedgeDecision.Refuse(HedgeRefusal.NO_OTHER_ENDPOINT)
            usual == null || call.deadline.left(now) <= medianLatency(state, now) -> HedgeDecision.Refuse(HedgeRefusal.NO_TIME)
            isOverloaded(candidate, now) -> HedgeDecision.Refuse(HedgeRefusal.OVERLOAD)
            !state.shares.allowsCopy(call.share, now) -> HedgeDecision.Refuse(HedgeRefusal.SHARE_SPENT)
            else -> HedgeDecision.Send(usual).also { state.shares.recordCopy(now) }
        }
    }

    /**
     * Records that the first attempt of a call on [route] was answered after [latency], or was abandoned then because its copy was answered.
     *
     * Without the abandoned attempts, hedging would lower the usual latency and with it the time after which copies are sent.
     */
    public fun recordLatency(
        route: RouteName,
        latency: Duration,
        now: Moment,
    ): Unit = stateOf(route).latency.record(latency, now)

    /** Returns what is known about each route with first attempts that may be hedged. */
    public fun summaries(now: Moment): List<HedgeSummary> =
        routes.map { (route, state) ->
            HedgeSummary(route, state.latency.quantile(HIGHEST_QUANTILE, now), state.shares.firstAttempts(now), state.shares.copies(now))
        }

    private fun usualLatency(
        state: RouteState,
        share: Double,
        now: Moment,
    ): Duration? {
        if (state.latency.count(now) < MINIMUM_SAMPLES) return null
        return state.latency.quantile((1.0 - share).coerceIn(LOWEST_QUANTILE, HIGHEST_QUANTILE), now)
    }

    private fun medianLatency(
        state: RouteState,
        now: Moment,
    ): Duration = state.latency.quantile(MEDIAN, now) ?: Duration.ZERO

    private fun isOverloaded(
        candidate: HedgeCandidate,
        now: Moment,
    ): Boolean {
        val load = candidate.load ?: return true
        return candidate.hasRefusals ||
            candidate.freeGuardShare < MINIMUM_FREE_GUARD_SHARE ||
            now - candidate.loadAt > MAXIMUM_REPORT_AGE ||
            !load.accepts(candidate.rankPosition) ||
            !load.copy(running = load.running + candidate.sentSinceLoad).hasFreeSlot
    }

    private fun stateOf(route: RouteName): RouteState {
        if (routes.size >= MAXIMUM_ROUTES && route !in routes) routes.remove(routes.keys.first())
        return routes.getOrPut(route, ::RouteState)
    }

    public companion object {
        /** Long enough for the samples of a route with a few calls a second at each node, short enough to follow a change of load. */
        private val WINDOW = 30.seconds

        /** Below this number, one slow call would decide the quantile. */
        private const val MINIMUM_SAMPLES = 20
        private const val MEDIAN = 0.5

        /** Below this quantile a latency is not late, whatever share may be hedged. */
        private const val LOWEST_QUANTILE = 0.8
        private const val HIGHEST_QUANTILE = 0.99
        private const val MINIMUM_FREE_GUARD_SHARE = 0.5

        /** A guard that always has free slots reports only with its answers, which in a large fleet come seconds apart. */
        public val MAXIMUM_REPORT_AGE: Duration = 10.seconds

        /** Limits the memory for routes that no longer exist; a route takes about 1.5 KB. */
        private const val MAXIMUM_ROUTES = 1_024

        /** Whether the server runs fewer calls than it may, and none waits. */
        public val GuardLoad.hasFreeSlot: Boolean get() = queued == 0 && running < limit
    }
}
