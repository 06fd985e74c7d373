package org.celeryusher.kernel.routing

import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment

/** Explains where a node would send a request. Changes nothing that a choice depends on: no call is counted and nothing is drawn. */
public class RouteInspector(
    private val chooser: BackendServerChooser,
    private val loads: EndpointLoadTracker,
    private val throttle: AdaptiveThrottle,
) {
    /** Returns what would be done at [now] with a request that matches [route]. [view] has the members that the route leaves out. */
    public fun inspect(
        route: TableRoute,
        view: MembershipView,
        now: Moment,
    ): RouteInspection =
        RouteInspection(
            route.declaration,
            when (route) {
                is SplitRoute -> route.parts.map { inspectPart(it.route, it.weight, view, now) }
                is HeldRoute -> listOf(inspectPart(route, null, view, now))
                is ResolvedRoute -> listOf(inspectPart(route, null, view, now))
            },
        )

    private fun inspectPart(
        route: ServiceRoute,
        weight: Int?,
        view: MembershipView,
        now: Moment,
    ): InspectedPart {
        val resolved = route as? ResolvedRoute
        val service = route.declaration.service
        val assessed = resolved?.let { chooser.assess(it, now) }.orEmpty().associateBy { it.endpoint.instance }
        val candidates =
            view.providersOf(service).map { member ->
                val assessment = assessed[member.instance]
                val statistics = loads[member.instance]
                InspectedCandidate(
                    member,
                    if (assessment?.isUsable == true) null else exclusionOf(member, statistics, assessment, now),
                    assessment?.cost,
                    assessment?.drawWeight,
                    statistics,
                    GuardAnswer.of(statistics.guardLoad, resolved?.rankPosition ?: 0),
                )
            }
        return InspectedPart(
            service,
            weight,
            resolved,
            throttle.probability(service, route.declaration.rank, now),
            candidates.sortedWith(compareBy({ it.exclusion != null }, { it.cost?.total }, { it.member.instance.value })),
        )
    }

    private fun exclusionOf(
        member: Member,
        statistics: EndpointStatistics,
        assessment: EndpointAssessment?,
        now: Moment,
    ): CandidateExclusion =
        when (member.state) {
            MemberState.DEAD -> CandidateExclusion.DEAD
            MemberState.LEAVING -> CandidateExclusion.LEAVING
            MemberState.SUSPECTED -> CandidateExclusion.SUSPECTED
            MemberState.LIVE ->
                when {
                    assessment == null -> CandidateExclusion.NOT_IN_ROUTING_TABLE
                    statistics.isLeaving -> CandidateExclusion.STATED_LEAVING
                    statistics.isEjected(now) -> CandidateExclusion.EJECTED
                    else -> CandidateExclusion.NOT_IN_ROUTING_TABLE
                }
        }
}
