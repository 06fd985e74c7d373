package org.celeryusher.node.call

import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.CallTarget
import org.celeryusher.kernel.execution.RetryAdmission
import org.celeryusher.kernel.execution.RetryBounds
import org.celeryusher.kernel.execution.RetryBudget
import org.celeryusher.kernel.execution.RetryDemand
import org.celeryusher.kernel.execution.ServerRuns
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Asks the node at an address for a [Frame.RetryQuery]; returns false also when no answer arrives within the timeout. */
internal fun interface RetryGrantSource {
    suspend fun isGranted(
        address: Address,
        query: Frame.RetryQuery,
        timeout: Duration,
    ): Boolean
}

/**
 * The account of the guard of this node for repeats at its service, and its way to ask for repeats at the services that are called from there.
 *
 * Thread-safe.
 */
internal class RetryAccount(
    private val ownAddress: Address,
    private val clock: ProcessClock,
    private val random: Random,
    isFullAtStart: Boolean,
    private val decisions: DecisionLog,
    private val source: RetryGrantSource,
) {
    private val runs = ServerRuns(clock.now(), BLIND_AFTER_START)
    private var budget = RetryBudget(clock.now(), isFullAtStart)
    private var admission = RetryAdmission(budget, runs)
    private var server: Member? = null
    private var service: ServiceName? = null
    private var view = MembershipView.EMPTY

    /** Applies the list of servers in [view], in which [server] is the one beside this node, and the [bounds] for its [service]. */
    @Synchronized
    fun updateView(
        view: MembershipView,
        server: Member?,
        service: ServiceName,
        bounds: RetryBounds,
    ) {
        val now = clock.now()
        if (this.server != null && server?.instance != this.server?.instance) {
            budget = RetryBudget(now)
            admission = RetryAdmission(budget, runs)
        }
        this.view = view
        this.server = server
        this.service = service
        budget.change(bounds, partOf(bounds.reserve, service), now)
    }

    /** Records the arrival of a request that a caller has sent. */
    @Synchronized
    fun recordRequest(): Unit = budget.recordRequest(clock.now())

    /** Records that the server begins to run [attempt]. */
    @Synchronized
    fun started(
        attempt: AttemptId,
        route: RouteName,
        deadline: Moment,
        now: Moment,
    ): Unit = runs.started(attempt, route, deadline, now)

    /** Records that [attempt] ended with [result]. */
    @Synchronized
    fun ended(
        attempt: AttemptId,
        result: CallResult,
        now: Moment,
    ): Unit = runs.ended(attempt, result is CallResult.Answered || (result as CallResult.Failed).kind in endsOfRuns, now)

    /** Records the arrival of a call to [target] at this node, and returns whether only a caller can have sent it. */
    @Synchronized
    fun isCertainlyOfCaller(
        target: CallTarget,
        deadline: Moment?,
        now: Moment,
    ): Boolean = runs.isCertainlyOfCaller(target, deadline, now)

    /** Returns whether a call to [target] is more likely made by the server beside this node than sent by a caller. */
    @Synchronized
    fun isLikelyOfRun(
        target: CallTarget,
        deadline: Moment?,
        now: Moment,
    ): Boolean = runs.isLikelyOfRun(target, deadline, now)

    /** Returns how many calls a run on [route] makes to each service, or null while too few runs were seen. */
    @Synchronized
    fun callsPerRun(
        route: RouteName,
        now: Moment,
    ): Map<ServiceName, Double>? = runs.callsPerRun(route, now)

    /** Returns whether the server beside this node may make a call that expires at [deadline] for a request that it is running. */
    @Synchronized
    fun mayMakeCall(
        deadline: Moment,
        now: Moment,
    ): Boolean = runs.mayMakeCall(deadline, now)

    /** Returns what the repeat [attempt] on [route] was charged, or null if this service or one that the run calls does not bear it. */
    suspend fun admit(
        attempt: AttemptId,
        route: RouteName,
    ): RetryDemand? {
        val demand = synchronized(this) { admission.admit(route, clock.now()) }
        val refusing = if (demand == null) service else firstRefusing(demand, GRANT_TIMEOUT)
        decisions.record(
            "retry",
            if (refusing == null) "allowed" else "refused",
            if (refusing == null) "within the budgets" else "the budget of $refusing",
            "attempt" to attempt,
            "route" to route,
            "calls" to demand?.calls,
            "left" to synchronized(this) { budget.available(clock.now()) },
        )
        if (demand == null || refusing == null) return demand
        withdraw(demand)
        return null
    }

    /** Returns how many repeats this guard may still charge at [now]. */
    @Synchronized
    fun available(now: Moment): Double = budget.available(now)

    /** Returns whether the service of this guard, and those that it calls, bear the repeats of [query]. */
    suspend fun grant(query: Frame.RetryQuery): Boolean {
        if (!query.amount.isFinite() || query.amount <= 0.0) return false
        val demand =
            synchronized(this) { if (query.service == service) admission.grant(query.amount, clock.now()) else null } ?: return false
        val left = query.waitMilliseconds.coerceIn(0, GRANT_TIMEOUT.inWholeMilliseconds).milliseconds - HOP_TIME
        if (firstRefusing(demand, left) == null) return true
        withdraw(demand)
        return false
    }

    /** Takes back what [demand] was charged, because nothing was repeated. */
    @Synchronized
    fun withdraw(demand: RetryDemand): Unit = admission.withdraw(demand)

    private suspend fun firstRefusing(
        demand: RetryDemand,
        timeout: Duration,
    ): ServiceName? =
        demand.calls.entries
            .firstOrNull { (called, amount) -> !isGranted(called, amount, timeout) }
            ?.key

    private suspend fun isGranted(
        called: ServiceName,
        amount: Double,
        timeout: Duration,
    ): Boolean {
        if (!timeout.isPositive()) return false
        val query = Frame.RetryQuery(0, called, amount, timeout.inWholeMilliseconds)
        val guards = synchronized(this) { view.providersOf(called) }.filter { it.state == MemberState.LIVE }.shuffled(random)
        return withTimeoutOrNull(timeout) {
            guards.take(GUARDS_ASKED).any {
                if (it.frameAddress == ownAddress) grant(query) else source.isGranted(it.frameAddress, query, timeout)
            }
        } ?: false
    }

    private fun partOf(
        reserve: Int,
        service: ServiceName,
    ): Int {
        val guards = view.providersOf(service).map { it.instance.value }.sorted()
        val position = guards.indexOf(server?.instance?.value)
        return if (position < 0) 0 else RetryBudget.partOf(reserve, position, guards.size)
    }

    private companion object {
        /** How long what a server runs for an earlier process of this node is unknown; longer than most deadlines. */
        val BLIND_AFTER_START = 10.seconds

        /** A grant that takes longer would keep a caller waiting for a retry that comes too late. */
        val GRANT_TIMEOUT = 200.milliseconds

        /** The time that is left for a query on its way, so that queries through a chain of services end. */
        val HOP_TIME = 5.milliseconds

        /** The parts of two guards differ by chance; more refusals mean that the budget of the service is exhausted. */
        const val GUARDS_ASKED = 2

        /** Failures after which the server does nothing more for the call. */
        val endsOfRuns =
            setOf(
                ErrorKind.SERVER_SHED,
                ErrorKind.SERVER_REPLACED,
                ErrorKind.SERVER_CRASHED,
                ErrorKind.CONNECTION_REFUSED,
                ErrorKind.CANCELLED_BEFORE_START,
            )
    }
}
