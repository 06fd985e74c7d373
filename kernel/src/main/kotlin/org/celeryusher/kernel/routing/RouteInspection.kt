package org.celeryusher.kernel.routing

import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.configuration.RouteDeclaration
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** What a node would do with a request on one route, without a request being sent. */
public data class RouteInspection(
    public val declaration: RouteDeclaration,
    /** One part, or the parts of a split route. */
    public val parts: List<InspectedPart>,
)

/** One service to which calls of the route go. */
public data class InspectedPart(
    public val service: ServiceName,
    /** The weight of the service in a split route, or null when it gets all calls. */
    public val weight: Int?,
    /** The route to this service, or null when no endpoint provides it. */
    public val resolved: ResolvedRoute?,
    /** The probability with which the adaptive throttle of the node refuses a call of the route's rank. */
    public val throttleProbability: Double,
    /** All members that provide the service: those that a first attempt may go to, the cheapest first, and then the excluded ones. */
    public val candidates: List<InspectedCandidate>,
)

/** One member that provides the service of a route. */
public data class InspectedCandidate(
    public val member: Member,
    /** Why no first attempt goes to it, or null when one may. */
    public val exclusion: CandidateExclusion?,
    /** Its expected cost, or null when it is not an endpoint of the route. */
    public val cost: EndpointCost?,
    /** How likely it is to be drawn for a comparison, 1 for a warm server without a limit on calls a second. */
    public val drawWeight: Double?,
    public val statistics: EndpointStatistics,
    public val guardAnswer: GuardAnswer,
) {
    /** Returns how long ago the guard reported its load, or null if it has not. */
    public fun reportAge(now: Moment): Duration? = if (statistics.guardLoad == null) null else now - statistics.guardLoadAt
}

/** Why a member that provides the service of a route gets no first attempt. */
public enum class CandidateExclusion {
    /** It was confirmed as failed or stopped. */
    DEAD,

    /** It announced that it leaves, or is listed as leaving. */
    LEAVING,

    /** Its backend server has stated that it leaves. */
    STATED_LEAVING,

    /** It did not answer probes, and enough other endpoints are live. */
    SUSPECTED,

    /** It is live, but the routing table leaves it out for this route. */
    NOT_IN_ROUTING_TABLE,

    /** It is ejected as an outlier. */
    EJECTED,
}

/** What a guard would answer a call of one rank that can wait, by the load that it last reported. */
public enum class GuardAnswer {
    /** A slot is free and no call waits. */
    STARTS,

    /** The call would be queued. */
    QUEUES,

    /** The guard does not accept the rank. */
    REFUSES,

    /** The guard has not reported its load to this node. */
    UNKNOWN,
    ;

    public companion object {
        /** Returns the answer of a guard with [load] to a call of the rank at [rankPosition]. */
        public fun of(
            load: GuardLoad?,
            rankPosition: Int,
        ): GuardAnswer =
            when {
                load == null -> UNKNOWN
                !load.accepts(rankPosition) -> REFUSES
                load.queued == 0 && load.running < load.limit -> STARTS
                else -> QUEUES
            }
    }
}
