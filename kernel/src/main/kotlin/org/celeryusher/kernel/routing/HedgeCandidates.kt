package org.celeryusher.kernel.routing

import org.celeryusher.kernel.execution.HedgeCandidate
import org.celeryusher.kernel.execution.HedgePolicy
import org.celeryusher.kernel.execution.HedgePolicy.Companion.hasFreeSlot
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.time.Moment

/** Gathers what a [HedgePolicy] needs to know about an endpoint that was chosen for a copy. */
public object HedgeCandidates {
    /**
     * Returns what is known about [endpoint], to which the copy is already counted in [loads], or null if it is ejected, suspected or leaving.
     *
     * For an attempt that must be sent, the chooser falls back to such endpoints when no others remain. A copy need not be sent.
     */
    public fun of(
        route: ResolvedRoute,
        endpoint: Member,
        loads: EndpointLoadTracker,
        throttle: AdaptiveThrottle,
        now: Moment,
    ): HedgeCandidate? {
        val statistics = loads[endpoint.instance]
        if (endpoint.state != MemberState.LIVE || statistics.isLeaving || statistics.isEjected(now)) return null
        val recent =
            route.endpoints
                .map { loads[it.instance] }
                .filter { it.guardLoad != null && now - it.guardLoadAt <= HedgePolicy.MAXIMUM_REPORT_AGE }
        return HedgeCandidate(
            load = statistics.guardLoad,
            loadAt = statistics.guardLoadAt,
            sentSinceLoad = (statistics.outstanding - 1 - statistics.outstandingAtGuardLoad).coerceAtLeast(0),
            rankPosition = route.rankPosition,
            freeGuardShare = if (recent.isEmpty()) 0.0 else recent.count { it.guardLoad?.hasFreeSlot == true }.toDouble() / recent.size,
            hasRefusals = throttle.hasRefusals(now),
        )
    }
}
