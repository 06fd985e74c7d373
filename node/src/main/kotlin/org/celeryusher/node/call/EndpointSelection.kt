package org.celeryusher.node.call

import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.CallProgress
import org.celeryusher.kernel.execution.CallerWaitEstimator
import org.celeryusher.kernel.execution.RetryBudget
import org.celeryusher.kernel.execution.RetryDecision
import org.celeryusher.kernel.execution.RetryPolicy
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.routing.BackendServerChooser
import org.celeryusher.kernel.routing.DataCentreDistances
import org.celeryusher.kernel.routing.EndpointChoice
import org.celeryusher.kernel.routing.EntryDecision
import org.celeryusher.kernel.routing.EntryThrottle
import org.celeryusher.kernel.routing.LoadBook
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import org.celeryusher.kernel.routing.CallResult as EndpointResult

/** What a proxy knows of the backend servers that it calls, and its decisions on them; safe for use by several threads. */
internal class EndpointSelection(
    private val distances: DataCentreDistances,
    private val random: Random,
) {
    private val loads = LoadBook()
    private val chooser = BackendServerChooser(distances, loads)
    private val throttle = EntryThrottle()
    private val callerWaitEstimator = CallerWaitEstimator()
    private val budgets = HashMap<ServiceName, ServiceBudget>()
    private var view: MembershipView = MembershipView.EMPTY

    /** Returns the one-way latency to [member]. */
    fun oneWayTo(member: Member): Duration = distances.to(member.dataCentre)

    /** Decides whether a call on [route] is sent at all. */
    @Synchronized
    fun enter(
        route: ResolvedRoute,
        snapshot: ConfigurationSnapshot,
        now: Moment,
    ): EntryDecision {
        budgetOf(route).recordFirstTry()
        val share = snapshot.document.ranks[route.rankPosition].guaranteedShare
        return throttle.decide(route.service.name, route.declaration.rank, share, now, random)
    }

    /** Returns how long a caller on [route] that brings [milliseconds] has waited since its first try. */
    @Synchronized
    fun elapsedSinceFirstTry(
        route: ResolvedRoute,
        milliseconds: Long,
    ): Duration = callerWaitEstimator.elapsedSinceFirstTry(route.declaration.name, milliseconds)

    /** Chooses an endpoint of [route] and counts a call to it; each choice needs one [answered]. */
    @Synchronized
    fun choose(
        route: ResolvedRoute,
        tried: Set<InstanceName>,
        now: Moment,
    ): EndpointChoice {
        val choice = chooser.choose(route, tried, now, random)
        if (choice is EndpointChoice.Chosen) loads.sent(choice.endpoint.instance)
        return choice
    }

    /** Counts a call to the owner of a ticket, which was not chosen. */
    @Synchronized
    fun sentToOwner(instance: InstanceName): Unit = loads.sent(instance)

    /** Records how a call to [endpoint] with a body of [requestBytes] ended after [latency]. */
    @Synchronized
    fun answered(
        route: ResolvedRoute,
        endpoint: InstanceName,
        requestBytes: Int,
        reply: GuardReply,
        latency: Duration,
        now: Moment,
    ) {
        loads.answered(endpoint, endpointResult(reply.result, latency), reply.load, now)
        (reply.result as? CallResult.Answered)?.let {
            loads.exchangeSize(route.declaration.name, requestBytes + it.body.size + HEAD_BYTES)
        }
    }

    /** Records how a call on [route] ended after all its tries, by which the throttle at the entry goes. */
    @Synchronized
    fun callEnded(
        route: ResolvedRoute,
        result: CallResult,
        now: Moment,
    ) {
        val kind = (result as? CallResult.Failed)?.kind
        throttle.answered(route.service.name, route.declaration.rank, accepted = kind !in refusalsForLoad, now)
    }

    /** Records the [load] that the guard at [address] told unasked. */
    @Synchronized
    fun loadTold(
        address: Address,
        load: GuardLoad,
        now: Moment,
    ) {
        view.members.filter { it.frameAddress == address }.forEach { loads.told(it.instance, load, now) }
    }

    /** Records that a call to [endpoint] was given up by its caller. */
    @Synchronized
    fun abandoned(
        endpoint: InstanceName,
        now: Moment,
    ): Unit = loads.answered(endpoint, EndpointResult.Abandoned, null, now)

    /** Decides what to do after an attempt. */
    @Synchronized
    fun afterAttempt(
        route: ResolvedRoute,
        result: CallResult,
        progress: CallProgress,
        now: Moment,
    ): RetryDecision = RetryPolicy.decide(outcomeOf(result), progress, budgetOf(route), now)

    /** Takes over a new membership view: endpoints that started anew begin with slow start, those that are gone are forgotten. */
    @Synchronized
    fun takeView(
        changed: MembershipView,
        now: Moment,
    ) {
        for (member in changed.members) {
            val before = view[member.instance]?.incarnation ?: continue
            val after = member.incarnation ?: continue
            if (!after.isSameProcessAs(before)) loads.startedCold(member.instance, now)
        }
        loads.retainOnly(changed.members.mapTo(HashSet()) { it.instance })
        view = changed
        budgets.values.forEach { (budget, fleetReserve) -> budget.changeReserve(reserveOf(fleetReserve)) }
    }

    private fun budgetOf(route: ResolvedRoute): RetryBudget =
        budgets
            .getOrPut(route.service.name) {
                val fleetReserve = route.settings.retryReserve
                ServiceBudget(RetryBudget(route.settings.retryBudgetShare, reserveOf(fleetReserve)), fleetReserve)
            }.budget

    private fun reserveOf(fleetReserve: Int): Double = RetryBudget.reserveOf(fleetReserve, view.members.size)

    private data class ServiceBudget(
        val budget: RetryBudget,
        val fleetReserve: Int,
    )

    private fun endpointResult(
        result: CallResult,
        latency: Duration,
    ): EndpointResult =
        when (result) {
            is CallResult.Answered -> if (result.status < FIRST_SERVER_ERROR) EndpointResult.Served(latency) else EndpointResult.Failed
            is CallResult.Failed -> endpointResult(result.kind)
        }

    private fun endpointResult(kind: ErrorKind): EndpointResult =
        when (kind) {
            ErrorKind.CANCELLED_BEFORE_START, ErrorKind.CANCELLED_WHILE_RUNNING -> EndpointResult.Abandoned
            in countedAgainstEndpoint -> EndpointResult.Failed
            else -> EndpointResult.Refused
        }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** An estimate of what the heads of a call and its answer have in frames; small against most bodies. */
        const val HEAD_BYTES = 600
        val refusalsForLoad = setOf(ErrorKind.OVERLOADED, ErrorKind.DEADLINE_BEFORE_START)
        val countedAgainstEndpoint =
            setOf(
                ErrorKind.CONNECTION_REFUSED,
                ErrorKind.CONNECTION_LOST,
                ErrorKind.ANSWER_TORN,
                ErrorKind.DEADLINE_WHILE_RUNNING,
                ErrorKind.SERVER_CRASHED,
                ErrorKind.TICKET_OWNER_UNREACHABLE,
                ErrorKind.INTERNAL,
            )
    }
}
