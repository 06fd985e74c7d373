package org.celeryusher.node.admin

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RegionName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.routing.CandidateExclusion
import org.celeryusher.kernel.routing.EndpointCost
import org.celeryusher.kernel.routing.GuardAnswer
import org.celeryusher.kernel.routing.InspectedCandidate
import org.celeryusher.kernel.routing.InspectedPart
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.call.RouteFindings
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Where a request to one node would go now and why, as the page `/route` of the node shows it. Times are in milliseconds. */
@Serializable
public data class RouteReport(
    public val node: InstanceName,
    public val dataCentre: DataCentreName,
    /** The configuration version in force. */
    public val version: Long,
    public val route: RouteName,
    public val method: String,
    public val host: String?,
    public val pathPrefix: String,
    public val rank: RankName,
    public val idempotent: Boolean,
    public val allowedRegions: List<RegionName>,
    /** The settings of the route at this node; null when no service of the route has an endpoint. */
    public val settings: FleetSettings?,
    /** The error with which the node would refuse the request without asking a guard, or null. */
    public val refusal: ErrorKind?,
    /** Whether the request, taken without a body, is suspected of crashing backend servers. */
    public val isSuspected: Boolean,
    /** How long the request, taken without a body, is still quarantined, or null if it is not. */
    public val quarantinedForMilliseconds: Long?,
    public val quarantinedRequests: Int,
    /** The part of the retry budget that is left at the guard of this node. The other guards have parts of their own. */
    public val retryBudgetLeft: Double,
    public val services: List<RouteServiceReport>,
) {
    internal companion object {
        fun of(
            place: FleetPlace,
            findings: RouteFindings,
        ): RouteReport {
            val route = findings.inspection.declaration
            val parts = findings.inspection.parts
            val resolved = parts.firstNotNullOfOrNull { it.resolved }
            val verdict = findings.verdict
            return RouteReport(
                node = place.instance,
                dataCentre = place.dataCentre,
                version = findings.version,
                route = route.name,
                method = route.method,
                host = route.host,
                pathPrefix = route.pathPrefix,
                rank = route.rank,
                idempotent = route.idempotent,
                allowedRegions = route.allowedRegions.toList(),
                settings = resolved?.settings,
                refusal =
                    when {
                        resolved == null -> ErrorKind.NO_ENDPOINT
                        verdict is CrashVerdict.Quarantined -> ErrorKind.QUARANTINED
                        parts.all { part -> part.candidates.all { it.exclusion != null } } -> ErrorKind.NO_ENDPOINT
                        else -> null
                    },
                isSuspected = verdict is CrashVerdict.RunExclusively,
                quarantinedForMilliseconds = (verdict as? CrashVerdict.Quarantined)?.remaining?.inWholeMilliseconds,
                quarantinedRequests = findings.quarantinedRequests,
                retryBudgetLeft = findings.retryBudgetLeft,
                services = parts.map { RouteServiceReport.of(it, findings.now) },
            )
        }
    }
}

/** One service to which calls of a route go. */
@Serializable
public data class RouteServiceReport(
    public val service: ServiceName,
    /** The weight in a split route, or null when the service gets all calls. */
    public val weight: Int?,
    /** The probability with which the node itself refuses a call of the rank, because guards refuse such calls. */
    public val throttleProbability: Double,
    /** The servers of the service: the usable ones, the cheapest first, and then the excluded ones. */
    public val candidates: List<RouteCandidateReport>,
) {
    internal companion object {
        fun of(
            part: InspectedPart,
            now: Moment,
        ): RouteServiceReport =
            RouteServiceReport(
                part.service,
                part.weight,
                part.throttleProbability,
                part.candidates.map { RouteCandidateReport.of(it, part.resolved?.rankPosition ?: 0, now) },
            )
    }
}

/** One server of a service. */
@Serializable
public data class RouteCandidateReport(
    public val instance: InstanceName,
    public val dataCentre: DataCentreName,
    public val state: MemberState,
    /** Why no first attempt goes to it, or null when one may. */
    public val excluded: CandidateExclusion?,
    public val cost: RouteCostReport?,
    /** How likely it is to be drawn for a comparison, relative to the others. */
    public val drawWeight: Double?,
    /** The calls that this node has sent there and that have not ended. */
    public val outstanding: Int,
    /** What the guard would answer by its last report. */
    public val guardAnswer: GuardAnswer,
    public val guard: RouteGuardReport?,
) {
    internal companion object {
        fun of(
            candidate: InspectedCandidate,
            rankPosition: Int,
            now: Moment,
        ): RouteCandidateReport =
            RouteCandidateReport(
                candidate.member.instance,
                candidate.member.dataCentre,
                candidate.member.state,
                candidate.exclusion,
                candidate.cost?.let(RouteCostReport::of),
                candidate.drawWeight,
                candidate.statistics.outstanding,
                candidate.guardAnswer,
                RouteGuardReport.of(candidate, rankPosition, now),
            )
    }
}

/** The expected time of a call to a server, and its parts. */
@Serializable
public data class RouteCostReport(
    public val totalMilliseconds: Double,
    public val queueingMilliseconds: Double,
    public val serviceMilliseconds: Double,
    public val roundTripMilliseconds: Double,
    public val transferMilliseconds: Double,
    /** The estimated number of calls that the server has. */
    public val load: Double,
) {
    internal companion object {
        fun of(cost: EndpointCost): RouteCostReport =
            RouteCostReport(
                milliseconds(cost.total),
                milliseconds(cost.queueing),
                milliseconds(cost.service),
                milliseconds(cost.roundTrip),
                milliseconds(cost.transferCost),
                cost.load,
            )

        private fun milliseconds(duration: Duration): Double = duration.toDouble(DurationUnit.MILLISECONDS)
    }
}

/** The load that the guard of a server last reported to the node. */
@Serializable
public data class RouteGuardReport(
    public val ageMilliseconds: Long,
    public val limit: Int,
    public val running: Int,
    public val queued: Int,
    public val callsPerSecond: Double?,
    /** The wait of a call of the route's rank that arrives there. */
    public val estimatedWaitMilliseconds: Long?,
) {
    internal companion object {
        fun of(
            candidate: InspectedCandidate,
            rankPosition: Int,
            now: Moment,
        ): RouteGuardReport? {
            val load = candidate.statistics.guardLoad ?: return null
            val rank = load.ranks.getOrElse(rankPosition) { load.ranks.lastOrNull() }
            val age = candidate.reportAge(now)?.inWholeMilliseconds ?: return null
            return RouteGuardReport(age, load.limit, load.running, load.queued, load.callsPerSecond, rank?.estimatedWaitMilliseconds)
        }
    }
}
