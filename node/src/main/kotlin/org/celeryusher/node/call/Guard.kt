package org.celeryusher.node.call

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.admission.AdmissionDecision
import org.celeryusher.kernel.admission.AdmissionPolicy
import org.celeryusher.kernel.admission.ColdLimit
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.admission.GuardedServer
import org.celeryusher.kernel.admission.LinkRoom
import org.celeryusher.kernel.admission.PaceStatus
import org.celeryusher.kernel.admission.ResumeHold
import org.celeryusher.kernel.admission.ServerChange
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.execution.AttemptReference
import org.celeryusher.kernel.execution.AttemptRegistry
import org.celeryusher.kernel.execution.AttemptState
import org.celeryusher.kernel.execution.CrashReport
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.RetryPolicy
import org.celeryusher.kernel.execution.Ticket
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.ReachCounts
import org.celeryusher.node.net.GuardLink
import org.celeryusher.node.runtime.ProcessClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The admission control in front of the backend server of this instance: admits calls by rank and runs each attempt at most once.
 *
 * Each attempt runs in the coroutine that called [run]; cancelling that coroutine cancels the attempt.
 */
internal class Guard(
    instance: InstanceName,
    private val processStart: Long,
    private val client: BackendServerClient,
    private val crashes: CrashRegistry,
    private val retries: RetryAccount,
    private val runs: RunAccount,
    private val clock: ProcessClock,
    random: Random,
    decisions: DecisionLog,
    private val outgoing: GuardLink = GuardLink.Unlimited,
) {
    private val origin = clock.now()
    private val server = GuardedServer(instance)
    private val lock = Any()
    private val attempts = AttemptRegistry(processStart)
    private val executor = AttemptExecutor(client, clock)
    private val tickets = GuardTickets(instance, processStart, random)
    private val link = LinkRoom()
    private val queue = ColdLimit(origin).let { GuardQueue(decisions, AdmissionHandler(), it, ResumeHold(it, origin)) }
    private val ends = GuardEnds(processStart, server, attempts, tickets, queue, crashes, retries, runs, decisions, ::uptime)
    private val arrivals = GuardArrivals(server, attempts, tickets, queue, link, outgoing, crashes, decisions, ::uptime)
    private val starts = GuardStarts(attempts, tickets, ends, crashes, retries, runs, decisions, ::uptime)

    /** Returns the reading of this guard's own clock at [now]. Attempts and tickets expire by this clock. */
    fun uptime(now: Moment): Uptime = Uptime((now - origin).inWholeMilliseconds)

    /** Returns the reference of an [attempt] that comes from the proxy of this node and has [deadline]. */
    fun referenceTo(
        attempt: AttemptId,
        deadline: Moment,
    ): AttemptReference = AttemptReference(attempt, processStart, uptime(deadline))

    /** Applies [policy]. Requests that crash servers are refused for [quarantine]. */
    fun applyPolicy(
        policy: AdmissionPolicy,
        quarantine: Duration,
    ) {
        synchronized(lock) {
            ends.quarantine = quarantine
            queue.applyPolicy(policy, clock.now())
        }
    }

    /**
     * Records that [server] is the backend server beside this node and which [process] of it runs, or that there is none when it is null.
     *
     * Calls that are queued for the previous server are refused as not run. A server that takes its place begins with slow start; the first one
     * that is listed after the start of this node does not, since it may have run for long.
     */
    fun changeServer(
        server: InstanceName?,
        process: Incarnation?,
    ) {
        synchronized(lock) {
            val change = this.server.change(server, process)
            if (change == ServerChange.STARTED || change == ServerChange.REMOVED) queue.drain(clock.now())
            if (change == ServerChange.STARTED) queue.serverStarted(clock.now())
            if (change == ServerChange.NONE) return
        }
        client.closeIdleConnections()
    }

    /** Records whether the data centre of this guard is evacuated: while it is, queued and new calls are refused as not run. */
    fun changeEvacuation(isEvacuated: Boolean): Unit = synchronized(lock) { queue.changeEvacuation(isEvacuated, clock.now()) }

    /** Records the [routes] that do not allow the region of this guard: their queued and new calls are refused as not run. */
    fun changeRoutesOutside(routes: Set<RouteName>): Unit = synchronized(lock) { queue.changeRoutesOutside(routes, clock.now()) }

    /** How often a call was not started because of what must not be reached. */
    val reachCounts: ReachCounts get() = queue.reachCounts

    /** Runs or refuses [call] and returns the reply. Every result states whether the work ran, did not run, or may have run. */
    suspend fun run(call: GuardCall): GuardReply {
        val fingerprint = RequestFingerprint.of(call.request.method, call.request.target, call.request.body)
        val demand =
            when (call.kind) {
                AttemptKind.REQUEST -> retries.recordRequest().let { null }
                AttemptKind.FIRST -> null
                AttemptKind.REPEAT -> retries.admit(call.reference.id, call.route)
            }
        val result =
            try {
                runWithin(call, fingerprint, isAffordable = demand != null || call.kind != AttemptKind.REPEAT)
            } catch (cancelled: CancellationException) {
                if (demand != null && isFree(call.reference)) retries.withdraw(demand)
                throw cancelled
            }
        if (demand != null && !RetryPolicy.staysCharged(outcomeOf(result))) retries.withdraw(demand)
        return GuardReply(result, loadReport(), crashOf(fingerprint, result))
    }

    /** Returns whether the repeat [attempt] has ended without a charge. */
    private fun isFree(attempt: AttemptReference): Boolean =
        (resolve(attempt) as? AttemptState.Settled)?.outcome?.let(RetryPolicy::staysCharged) == false

    private suspend fun runWithin(
        call: GuardCall,
        fingerprint: RequestFingerprint,
        isAffordable: Boolean,
    ): CallResult =
        when (val decision = synchronized(lock) { arrivals.admit(call, fingerprint, isAffordable, clock.now()) }) {
            is ArrivalDecision.Run -> runAdmitted(decision.task)
            is ArrivalDecision.AwaitFirst -> awaitFirst(decision.first)
            is ArrivalDecision.Respond -> decision.result
        }

    /** Issues a ticket for [route]. */
    fun issueTicket(route: RouteName): Either<ErrorKind, Ticket> = synchronized(lock) { tickets.issue(route, uptime(clock.now())) }

    /** Returns the state of [attempt]. If it has not arrived yet, it is fenced: it is refused when it arrives later. */
    fun resolve(attempt: AttemptReference): AttemptState = synchronized(lock) { attempts.resolve(attempt, uptime(clock.now())) }

    /** Refuses queued and new calls as not run. Running calls continue. */
    fun drain(): Unit = synchronized(lock) { queue.drain(clock.now()) }

    /** Begins slow start after a restart of the backend server: the number of concurrent calls rises gradually. */
    fun serverStarted(): Unit = synchronized(lock) { queue.serverStarted(clock.now()) }

    /** The number of attempts that are queued or running. */
    val inFlight: Int get() = synchronized(lock) { queue.size }

    /** Returns the load to report to proxies, or null before a policy is applied. */
    fun load(): GuardLoad? =
        synchronized(lock) {
            val linkWait = outgoing.backlog?.let(link::waitFor)?.inWholeMilliseconds ?: 0
            queue.load(clock.now())?.copy(
                leavingServer = server.leaving,
                leavingProcess = server.leavingProcess,
                linkWaitMilliseconds = linkWait,
            )
        }

    /** Returns what the answers of the backend server have shown about its load, or null before a policy is applied. */
    fun paceStatus(): PaceStatus? = synchronized(lock) { queue.paceStatus(clock.now()) }

    /** Reads or changes what is known of how cold the backend server is. */
    fun <T> withCold(use: (ColdLimit, Moment) -> T): T = withHold { _, now -> use(queue.cold, now) }

    /** Reads or changes what must be known before calls start after a pause. */
    fun <T> withHold(use: (ResumeHold, Moment) -> T): T =
        synchronized(lock) { clock.now().let { now -> queue.withHold(now) { use(it, now) } } }

    /** Returns the load to send to a proxy, which from time to time includes the calls of runs. */
    fun loadReport(): GuardLoad? {
        val calls = runs.report(clock.now())
        return if (calls.isEmpty()) load() else load()?.copy(runs = calls)
    }

    /** Refuses queued calls whose deadline can no longer be met, until cancelled. Suspends while no call is queued. */
    suspend fun runTicks() {
        while (true) {
            val isDueAgain = synchronized(lock) { queue.tick(clock.now()) }
            if (isDueAgain) delay(TICK_INTERVAL) else queue.awaitQueued()
        }
    }

    private suspend fun runAdmitted(task: GuardTask): CallResult {
        var answerBytes: Int? = null
        try {
            return runTask(task).also { answerBytes = (it as? CallResult.Answered)?.body?.size }
        } finally {
            synchronized(lock) { link.recordEnd(task.call.route, answerBytes) }
        }
    }

    private suspend fun runTask(task: GuardTask): CallResult {
        try {
            task.admission.await()?.let { return it }
        } catch (cancelled: CancellationException) {
            synchronized(lock) { ends.cancelBeforeSend(task, clock.now()) }
            throw cancelled
        }
        var reply = ServerReply(CallResult.Failed(ErrorKind.CANCELLED_WHILE_RUNNING))
        try {
            reply = executor.run(task)
        } finally {
            synchronized(lock) { ends.complete(task, reply, clock.now()) }
        }
        return reply.result
    }

    private suspend fun awaitFirst(first: GuardTask): CallResult {
        val left = first.deadline - clock.now()
        return withTimeoutOrNull(left) { first.completion.await() } ?: CallResult.Failed(ErrorKind.TICKET_IN_PROGRESS)
    }

    private inner class AdmissionHandler : AdmissionListener {
        override fun onStart(
            task: GuardTask,
            now: Moment,
        ): Unit = starts.begin(task, now)

        override fun onRefusal(
            task: GuardTask,
            decision: AdmissionDecision.Refuse<AttemptId>,
            now: Moment,
        ): Unit = starts.refuse(task, decision, now)
    }

    private fun crashOf(
        fingerprint: RequestFingerprint,
        result: CallResult,
    ): CrashReport? {
        if (result !is CallResult.Failed || result.kind != ErrorKind.SERVER_CRASHED) return null
        return crashes.latestReport(fingerprint, clock.now())
    }

    companion object {
        private val TICK_INTERVAL = 5.milliseconds

        /** How long a request that crashes servers is refused before a policy is applied. */
        val DEFAULT_QUARANTINE = 600_000.milliseconds
    }
}
