package org.celeryusher.node.call

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.admission.AdmissionDecision
import org.celeryusher.kernel.admission.AdmissionPolicy
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.AttemptReference
import org.celeryusher.kernel.execution.AttemptRegistry
import org.celeryusher.kernel.execution.AttemptStart
import org.celeryusher.kernel.execution.AttemptState
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.Ticket
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stands before the backend server of this instance: admits calls by rank, runs each attempt at most once, refuses the rest.
 *
 * Each attempt runs in the coroutine of whoever asked for it; cancelling that coroutine cancels the attempt.
 */
internal class Guard(
    instance: InstanceName,
    private val processStart: Long,
    private val client: BackendServerClient,
    private val crashes: CrashRegister,
    private val clock: ProcessClock,
    random: Random,
    private val decisions: DecisionLog,
) {
    private val origin = clock.now()
    private var served: InstanceName? = instance
    private val lock = Any()
    private val attempts = AttemptRegistry(processStart)
    private val server = ServerRun(client, clock)
    private val tickets = GuardTickets(instance, processStart, random)
    private val queue = GuardQueue(decisions, Turns())
    private var quarantine: Duration = DEFAULT_QUARANTINE

    /** This guard's own clock, in which attempts and tickets expire. */
    fun uptime(now: Moment): Uptime = Uptime((now - origin).inWholeMilliseconds)

    /** Names an attempt by this node's own proxy with [deadline]. */
    fun referenceTo(
        attempt: AttemptId,
        deadline: Moment,
    ): AttemptReference = AttemptReference(attempt, processStart, uptime(deadline))

    /** Puts [policy] in force; requests that crash servers are refused for [quarantine]. */
    fun usePolicy(
        policy: AdmissionPolicy,
        quarantine: Duration,
    ) {
        synchronized(lock) {
            this.quarantine = quarantine
            queue.usePolicy(policy, clock.now())
        }
    }

    /**
     * Takes note that [server] is the backend server beside this node, or that there is none.
     *
     * Queued calls for the server before are handed back as not run; a new one gets its share of calls slowly.
     */
    fun serve(server: InstanceName?) {
        synchronized(lock) {
            if (server == served) return
            served = server
            if (!queue.isOpen) return
            queue.drain(clock.now())
            if (server != null) queue.serverStarted(clock.now())
        }
        client.close()
    }

    /** Runs [call] or refuses it; every way out says what is known about the work. */
    suspend fun run(call: GuardCall): GuardReply {
        val fingerprint = RequestFingerprint.of(call.request.method, call.request.target, call.request.body)
        val result =
            when (val step = synchronized(lock) { admit(call, fingerprint) }) {
                is Admitted.Task -> runTask(step.task)
                is Admitted.Follow -> follow(step.first)
                is Admitted.Ended -> step.result
            }
        return GuardReply(result, load(), crashesOf(fingerprint, result))
    }

    /** Issues a ticket for [route]. */
    fun issueTicket(route: RouteName): Either<ErrorKind, Ticket> = synchronized(lock) { tickets.issue(route, uptime(clock.now())) }

    /** Answers what became of [attempt]; one that never came is fenced by that and can run no more. */
    fun resolve(attempt: AttemptReference): AttemptState = synchronized(lock) { attempts.resolve(attempt, uptime(clock.now())) }

    /** Hands queued calls back as not run and refuses new ones; those that run go on. */
    fun drain(): Unit = synchronized(lock) { queue.drain(clock.now()) }

    /** The backend server has started anew: its share of calls rises slowly. */
    fun serverStarted(): Unit = synchronized(lock) { queue.serverStarted(clock.now()) }

    /** How many attempts wait or run. */
    val inFlight: Int get() = synchronized(lock) { queue.size }

    /** The load that proxies are told. */
    fun load(): GuardLoad? = synchronized(lock) { queue.load(clock.now()) }

    /** Refuses queued calls whose deadline can no longer be met, until cancelled; sleeps while no call is queued. */
    suspend fun runTicks() {
        while (true) {
            val isDueAgain = synchronized(lock) { queue.tick(clock.now()) }
            if (isDueAgain) delay(TICK_INTERVAL) else queue.awaitQueued()
        }
    }

    private fun admit(
        call: GuardCall,
        fingerprint: RequestFingerprint,
    ): Admitted {
        val now = clock.now()
        if (!queue.isOpen) return Admitted.Ended(CallResult.Failed(ErrorKind.NO_CONFIGURATION))
        if (call.suspected) crashes.suspect(fingerprint, now)
        val verdict = crashes.verdict(fingerprint, now)
        if (verdict is CrashVerdict.Quarantined) {
            return Admitted.Ended(CallResult.Failed(ErrorKind.QUARANTINED, retryAfter = verdict.remaining))
        }
        if (served == null || (call.server != null && call.server != served)) {
            return Admitted.Ended(CallResult.Failed(ErrorKind.SERVER_REPLACED, "${call.server} is not here, but ${served ?: "none"}"))
        }
        val refused = refusalAtArrival(attempts.arrive(call.reference, call.idempotent, uptime(now)))
        if (refused != null) return Admitted.Ended(refused)
        return when (val step = tickets.use(call, fingerprint, uptime(now))) {
            is TicketStep.Answer -> settledBefore(call, step.result, now)
            is TicketStep.Wait -> {
                attempts.refuse(call.reference, ErrorKind.CANCELLED_BEFORE_START, uptime(now))
                Admitted.Follow(step.first)
            }
            is TicketStep.Run -> Admitted.Task(arrive(call, fingerprint, step.ticket, verdict, now))
        }
    }

    private fun settledBefore(
        call: GuardCall,
        result: CallResult,
        now: Moment,
    ): Admitted {
        attempts.refuse(call.reference, ErrorKind.CANCELLED_BEFORE_START, uptime(now))
        return Admitted.Ended(result)
    }

    private fun arrive(
        call: GuardCall,
        fingerprint: RequestFingerprint,
        ticket: Ticket?,
        verdict: CrashVerdict,
        now: Moment,
    ): GuardTask {
        val task = GuardTask(call, fingerprint, now + (call.reference.expiresAt - uptime(now)), ticket)
        tickets.began(task)
        queue.arrive(task, runsAlone = verdict is CrashVerdict.RunExclusively, now)
        return task
    }

    private suspend fun runTask(task: GuardTask): CallResult {
        try {
            task.turn.await()?.let { return it }
        } catch (cancelled: CancellationException) {
            synchronized(lock) { withdraw(task) }
            throw cancelled
        }
        var result: CallResult = CallResult.Failed(ErrorKind.CANCELLED_WHILE_RUNNING)
        try {
            result = server.run(task)
        } finally {
            result = synchronized(lock) { ended(task, result) }
        }
        return result
    }

    private suspend fun follow(first: GuardTask): CallResult {
        val left = first.deadline - clock.now()
        return withTimeoutOrNull(left) { first.ended.await() } ?: CallResult.Failed(ErrorKind.TICKET_IN_PROGRESS)
    }

    private fun withdraw(task: GuardTask) {
        val now = clock.now()
        if (task.startedAt == null) {
            attempts.cancel(task.call.reference, uptime(now))
            queue.cancel(task, now)
        } else {
            // Its turn had come, but nothing was sent to the backend server.
            end(task, CallResult.Failed(ErrorKind.CANCELLED_BEFORE_START), Duration.ZERO, now)
        }
    }

    private fun ended(
        task: GuardTask,
        result: CallResult,
    ): CallResult {
        val now = clock.now()
        if (result is CallResult.Failed && result.kind == ErrorKind.SERVER_CRASHED) countCrash(task, now)
        if (result is CallResult.Answered) crashes.recordCompletion(task.fingerprint, now)
        end(task, result, now - (task.startedAt ?: now), now)
        return result
    }

    private fun end(
        task: GuardTask,
        result: CallResult,
        serviceTime: Duration,
        now: Moment,
    ) {
        val id = task.call.reference.id
        val outcome = outcomeOf(result)
        decisions.decision(
            "guard",
            "ended",
            outcome.runStatus.headerValue,
            "attempt" to id,
            "route" to task.call.route,
            "took" to serviceTime,
            "total" to now - task.call.request.arrived,
            "result" to if (result is CallResult.Failed) result else (result as CallResult.Answered).status,
        )
        attempts.finish(id, outcome)
        tickets.ended(task, result, outcome, uptime(now))
        queue.finished(task, result, serviceTime, now)
    }

    private fun countCrash(
        task: GuardTask,
        now: Moment,
    ) {
        if (task.crashCounted) return
        val running = queue.running
        running.forEach { it.crashCounted = true }
        crashes.recordCrash(running.mapTo(HashSet()) { it.fingerprint } + task.fingerprint, quarantine, now)
    }

    private inner class Turns : TurnListener {
        override fun started(
            task: GuardTask,
            now: Moment,
        ) {
            task.startedAt = now
            when (val start = attempts.start(task.call.reference, task.call.idempotent, uptime(now))) {
                is AttemptStart.Run -> {
                    task.turn.complete(null)
                }

                is AttemptStart.Refused -> {
                    val result = failureOf(start.outcome)
                    end(task, result, Duration.ZERO, now)
                    task.turn.complete(result)
                }
            }
        }

        override fun refused(
            task: GuardTask,
            decision: AdmissionDecision.Refuse<AttemptId>,
            now: Moment,
        ) {
            val outcome = attempts.refuse(task.call.reference, decision.error, uptime(now))
            val result = failureOf(outcome, decision.cause.name, decision.retryAfter)
            tickets.ended(task, result, outcome, uptime(now))
            task.turn.complete(result)
        }
    }

    private fun crashesOf(
        fingerprint: RequestFingerprint,
        result: CallResult,
    ): Int {
        if (result !is CallResult.Failed || result.kind != ErrorKind.SERVER_CRASHED) return 0
        return crashes.news(clock.now()).find { it.fingerprint == fingerprint }?.crashes ?: 1
    }

    private companion object {
        val TICK_INTERVAL = 5.milliseconds

        val DEFAULT_QUARANTINE = 600_000.milliseconds
    }
}
