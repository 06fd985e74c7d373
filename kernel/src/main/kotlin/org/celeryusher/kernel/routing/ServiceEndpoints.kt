package org.celeryusher.kernel.routing

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.RegionName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView

/** Why a route has no endpoint, and the [error] that its callers get. */
public enum class HeldCause(
    public val error: ErrorKind,
) {
    /** No live or suspected backend server provides the service. */
    NO_SERVER(ErrorKind.NO_ENDPOINT),

    /** Backend servers provide the service, but none of them is in a region that the route allows. */
    NO_ALLOWED_REGION(ErrorKind.REGION_NOT_SERVED),

    /** The backend servers that may get calls of the route are all in evacuated data centres. */
    EVACUATED(ErrorKind.EVACUATED),
}

/** The endpoints of a service for one route, or the reason why there are none. */
internal sealed interface FoundEndpoints {
    data class Some(
        val endpoints: NonEmptyList<Member>,
    ) : FoundEndpoints

    data class None(
        val cause: HeldCause,
    ) : FoundEndpoints
}

/**
 * Finds the endpoints of services in [view].
 *
 * What must not be reached is left out before the choice between live and suspected servers, so that no shortage of servers brings it back. A
 * data centre whose region is not in [regions] is in no allowed region.
 */
internal class ServiceEndpoints(
    private val view: MembershipView,
    private val regions: Map<DataCentreName, RegionName>,
) {
    private val found = HashMap<Pair<ServiceName, Set<RegionName>>, FoundEndpoints>()

    /** Returns the endpoints of [service] in [allowed] regions; an empty set allows all. */
    fun find(
        service: ServiceName,
        allowed: Set<RegionName>,
    ): FoundEndpoints = found.getOrPut(service to allowed) { compute(service, allowed) }

    /** Returns whether calls of a route with [allowed] regions may reach [member]. */
    fun mayReach(
        member: Member,
        allowed: Set<RegionName>,
    ): Boolean = !view.isEvacuated(member) && isInRegion(member.dataCentre, allowed)

    /** Returns whether [dataCentre] is in one of the [allowed] regions; an empty set allows all. */
    fun isInRegion(
        dataCentre: DataCentreName,
        allowed: Set<RegionName>,
    ): Boolean = allowed.isEmpty() || regions[dataCentre] in allowed

    private fun compute(
        service: ServiceName,
        allowed: Set<RegionName>,
    ): FoundEndpoints {
        val providers = view.providersOf(service).filter { it.state == MemberState.LIVE || it.state == MemberState.SUSPECTED }
        val inRegion = providers.filter { isInRegion(it.dataCentre, allowed) }
        val endpoints = usableOf(inRegion.filter { mayReach(it, allowed) }).toNonEmptyListOrNull()
        return when {
            endpoints != null -> FoundEndpoints.Some(endpoints)
            providers.isEmpty() -> FoundEndpoints.None(HeldCause.NO_SERVER)
            inRegion.isEmpty() -> FoundEndpoints.None(HeldCause.NO_ALLOWED_REGION)
            else -> FoundEndpoints.None(HeldCause.EVACUATED)
        }
    }

    /** Returns the live providers, followed by the suspected ones as a fallback if fewer than half of the two together are live. */
    private fun usableOf(providers: List<Member>): List<Member> {
        val live = providers.filter { it.state == MemberState.LIVE }
        val suspected = providers.filter { it.state == MemberState.SUSPECTED }
        return if (live.size >= suspected.size) live else live + suspected
    }
}
