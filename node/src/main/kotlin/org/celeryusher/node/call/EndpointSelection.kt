package org.celeryusher.node.call

import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.admission.LinkSchedule
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.CallerWaitEstimator
import org.celeryusher.kernel.execution.HedgeCandidate
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.routing.AdaptiveThrottle
import org.celeryusher.kernel.routing.BackendServerChooser
import org.celeryusher.kernel.routing.DataCentreDistances
import org.celeryusher.kernel.routing.EndpointChoice
import org.celeryusher.kernel.routing.EndpointLoadTracker
import org.celeryusher.kernel.routing.HedgeCandidates
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.kernel.routing.RouteInspection
import org.celeryusher.kernel.routing.RouteInspector
import org.celeryusher.kernel.routing.RoutingTable
import org.celeryusher.kernel.routing.TableRoute
import org.celeryusher.kernel.routing.ThrottleDecision
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import kotlin.random.Random
import kotlin.time.Duration
import org.celeryusher.kernel.routing.CallResult as EndpointResult

/** The state of a proxy for choosing endpoints: load and results of backend servers, and throttling. Thread-safe. */
internal class EndpointSelection(
    private val distances: DataCentreDistances,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    private val loads = EndpointLoadTracker()
    private val chooser = BackendServerChooser(distances, loads)
    private val throttle = AdaptiveThrottle()
    private val callerWaitEstimator = CallerWaitEstimator()
    private var view: MembershipView = MembershipView.EMPTY
    private var table: RoutingTable? = null
    private var instancesByAddress: Map<Address, List<InstanceName>> = emptyMap()

    /** Returns the one-way latency to [member]. */
    fun oneWayLatencyTo(member: Member): Duration = distances.to(member.dataCentre)

    /** Returns whether calls on [route] usually transfer more than a part of what the link takes at a time. */
    @Synchronized
    fun isLarge(route: ResolvedRoute): Boolean = loads.averageExchangeBytes(route.declaration.name) > LinkSchedule.PART_BYTES

    /** Returns the limit on calls a second that [instance] has stated, as far as this node knows, or null for none. */
    @Synchronized
    fun callsPerSecondOf(instance: InstanceName): Double? = loads[instance].statedCallsPerSecond

    /** Returns for a first try on [route] whether adaptive throttling lets it pass. */
    @Synchronized
    fun checkThrottle(
        route: ResolvedRoute,
        snapshot: ConfigurationSnapshot,
        now: Moment,
    ): ThrottleDecision {
        val share = snapshot.document.ranks[route.rankPosition].guaranteedShare
        return throttle.decide(route.service.name, route.declaration.rank, share, now, random)
    }

    /** Returns an estimate of how long a caller on [route] has waited since its first try, given its deadline in [milliseconds]. */
    @Synchronized
    fun elapsedSinceFirstTry(
        route: ResolvedRoute,
        milliseconds: Long,
    ): Duration = callerWaitEstimator.elapsedSinceFirstTry(route.declaration.name, milliseconds)

    /** Chooses an endpoint of [route] and counts a call to it; each choice must be followed by [recordReply] or [recordAbandoned]. */
    @Synchronized
    fun choose(
        route: ResolvedRoute,
        tried: Set<InstanceName>,
        now: Moment,
    ): EndpointChoice {
        val first = chooser.choose(route, tried, now, random)
        val isReachable = first !is EndpointChoice.Chosen || mayReach(route, first.endpoint)
        val choice = if (isReachable) first else chooser.choose(route, withUnreachable(tried, route), now, random)
        if (choice is EndpointChoice.Chosen) loads.recordSent(choice.endpoint.instance)
        return choice
    }

    /** Adds to [tried] the endpoints that calls of [route] must no longer reach. The chooser never returns to those. */
    private fun withUnreachable(
        tried: Set<InstanceName>,
        route: ResolvedRoute,
    ): Set<InstanceName> = tried + route.endpoints.filterNot { mayReach(route, it) }.map { it.instance }

    // The route may be from an earlier table: evacuations, regions and the data centres of servers can have changed since.
    private fun mayReach(
        route: ResolvedRoute,
        endpoint: Member,
    ): Boolean {
        val member = currentOf(endpoint)
        return !view.isEvacuated(member) && table?.mayReach(route.declaration, member) ?: true
    }

    private fun currentOf(endpoint: Member): Member = view[endpoint.instance] ?: endpoint

    /** Returns whether all endpoints of [route] are in evacuated data centres. */
    @Synchronized
    fun isEvacuated(route: ResolvedRoute): Boolean = route.endpoints.all { view.isEvacuated(currentOf(it)) }

    /** Returns what is known about [endpoint], which [choose] has just returned for a copy on [route], or null if it gets no copies. */
    @Synchronized
    fun hedgeCandidate(
        route: ResolvedRoute,
        endpoint: Member,
        now: Moment,
    ): HedgeCandidate? = HedgeCandidates.of(route, endpoint, loads, throttle, now)

    /** Returns where a request on [route] would go at [now], without counting a call. */
    @Synchronized
    fun inspect(
        route: TableRoute,
        now: Moment,
    ): RouteInspection = RouteInspector(chooser, loads, throttle).inspect(route, view, now)

    /** Counts a call to the owner of a ticket, which is used without endpoint selection. */
    @Synchronized
    fun recordSentToTicketOwner(instance: InstanceName): Unit = loads.recordSent(instance)

    /** Records the [reply] to a call to [endpoint] with a request body of [requestBytes], received after [latency]. */
    @Synchronized
    fun recordReply(
        route: ResolvedRoute,
        endpoint: InstanceName,
        requestBytes: Int,
        reply: GuardReply,
        latency: Duration,
        now: Moment,
    ) {
        val wasLeaving = loads[endpoint].isLeaving
        loads.recordResult(endpoint, endpointResult(reply.result, latency), reply.load, now, processOf(endpoint))
        logLeaving(endpoint, wasLeaving, "its guard's reply")
        (reply.result as? CallResult.Answered)?.let {
            loads.recordExchangeSize(route.declaration.name, requestBytes + it.body.size + ESTIMATED_HEAD_BYTES, it.body.size)
        }
    }

    /** Records the final [result] of a call on [route], from which the adaptive throttle learns whether guards accept the rank. */
    @Synchronized
    fun recordCallEnd(
        route: ResolvedRoute,
        result: CallResult,
        now: Moment,
    ) {
        if (result.isRefusedForCalls) return
        val kind = (result as? CallResult.Failed)?.kind
        throttle.recordResult(route.service.name, route.declaration.rank, accepted = kind !in overloadRefusals, now)
    }

    /** Records a [load] report that the guard at [address] pushed. */
    @Synchronized
    fun recordLoadReport(
        address: Address,
        load: GuardLoad,
        now: Moment,
    ) {
        for (instance in instancesByAddress[address].orEmpty()) {
            val wasLeaving = loads[instance].isLeaving
            loads.recordPushedLoad(instance, load, now, processOf(instance))
            logLeaving(instance, wasLeaving, "its guard's report")
        }
    }

    private fun processOf(instance: InstanceName): Incarnation? = view[instance]?.incarnation

    private fun logLeaving(
        instance: InstanceName,
        wasLeaving: Boolean,
        source: String,
    ) {
        if (wasLeaving || !loads[instance].isLeaving) return
        val process = processOf(instance)?.start
        decisions.record("servers", "$instance left out", "it has stated that it leaves", "from" to source, "process" to process)
    }

    /** Records that a call to [endpoint] ended without a result, because it was cancelled or not sent. */
    @Synchronized
    fun recordAbandoned(
        endpoint: InstanceName,
        now: Moment,
    ): Unit = loads.recordResult(endpoint, EndpointResult.Abandoned, null, now)

    /** Replaces the membership view by [changed] and the routing table by [table]: restarted endpoints begin with slow start, and the state of removed ones is dropped. */
    @Synchronized
    fun updateView(
        changed: MembershipView,
        table: RoutingTable?,
        now: Moment,
    ) {
        this.table = table
        for (member in changed.members) {
            val before = view[member.instance]
            if (before == null) loads.recordListed(member.instance) else recordRestart(before, member, now)
        }
        loads.retainOnly(changed.members.mapTo(HashSet()) { it.instance })
        view = changed
        instancesByAddress = changed.members.groupBy({ it.frameAddress }, { it.instance })
    }

    private fun recordRestart(
        before: Member,
        after: Member,
        now: Moment,
    ) {
        val process = after.incarnation ?: return
        if (before.incarnation?.isSameProcessAs(process) == false) loads.recordColdStart(after.instance, now)
    }

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
            in endpointFailures -> EndpointResult.Failed
            else -> EndpointResult.Refused
        }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** The estimated size of the heads of a call and its answer in frames; small compared with most bodies. */
        const val ESTIMATED_HEAD_BYTES = 600
        val overloadRefusals = setOf(ErrorKind.OVERLOADED, ErrorKind.DEADLINE_BEFORE_START)
        val endpointFailures =
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
