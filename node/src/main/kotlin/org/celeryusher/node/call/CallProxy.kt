package org.celeryusher.node.call

import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.Resend
import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.kernel.execution.AnswerReason
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.DeadlineBudget
import org.celeryusher.kernel.execution.QuarantineReport
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.RetryAfterPolicy
import org.celeryusher.kernel.execution.RetryDecision
import org.celeryusher.kernel.execution.RetryPolicy
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.routing.EndpointChoice
import org.celeryusher.kernel.routing.EntryDecision
import org.celeryusher.kernel.routing.HeldRoute
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.kernel.routing.SplitRoute
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.NodeMetrics
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A finished call: its result, and whether it was tried more than once on the way. */
internal class ProxyAnswer(
    val result: CallResult,
    val retried: Boolean = false,
)

/** Routes a caller's request to a backend server that can answer it, and tries again where that is safe. */
internal class CallProxy(
    private val headers: CallHeaders,
    private val routing: RoutingState,
    private val placement: CallPlacement,
    private val tickets: TicketCalls,
    private val selection: EndpointSelection,
    private val crashes: CrashRegister,
    private val clock: ProcessClock,
    private val random: Random,
    private val metrics: NodeMetrics,
    private val decisions: DecisionLog,
    private val log: CallLog,
    private val awaitFreshView: suspend () -> Unit,
) {
    /** Routes and runs [request]. */
    suspend fun run(request: CallRequest): ProxyAnswer {
        awaitFreshView()
        val current = routing.current
        val table = current.table ?: return unrouted(request, ErrorKind.NO_CONFIGURATION)
        val route = table.match(request.method, request.path, request.hostName)
        return when (val part = if (route is SplitRoute) route.draw(random) else route) {
            null -> unrouted(request, ErrorKind.NO_ROUTE, "${request.method} ${request.host}${request.path}")
            is HeldRoute -> unrouted(request, ErrorKind.NO_ENDPOINT, part.declaration.service.value)
            is ResolvedRoute -> runObserved(part, request, checkNotNull(current.snapshot))
            is SplitRoute -> error("a part of a split route is not split again")
        }
    }

    private suspend fun runObserved(
        route: ResolvedRoute,
        request: CallRequest,
        snapshot: ConfigurationSnapshot,
    ): ProxyAnswer {
        val answer = runOn(route, request, snapshot)
        log.answered(request, answer.result, route.declaration.name, routing.current.snapshot)
        val kind = (answer.result as? CallResult.Failed)?.kind
        metrics.callEnded(route.declaration.name, route.declaration.rank, kind, clock.now() - request.arrived)
        return answer
    }

    private suspend fun runOn(
        route: ResolvedRoute,
        request: CallRequest,
        snapshot: ConfigurationSnapshot,
    ): ProxyAnswer {
        val asked = request.header(headers.deadline)
        val milliseconds = asked?.toLongOrNull()
        if (asked != null && (milliseconds == null || milliseconds < 0)) return failed(ErrorKind.BAD_REQUEST, badDeadline(asked))
        val deadline = DeadlineBudget.onArrival(milliseconds, route.settings.deadlineMilliseconds.milliseconds, request.arrived)
        val fingerprint = RequestFingerprint.of(request.method, request.target, request.body)
        val verdict = crashes.verdict(fingerprint, clock.now())
        if (verdict is CrashVerdict.Quarantined) {
            return ProxyAnswer(
                CallResult.Failed(ErrorKind.QUARANTINED, retryAfter = verdict.remaining),
            )
        }
        val ticket = request.header(CeleryusherHeaders.TICKET)
        if (ticket != null) return ProxyAnswer(tickets.run(route, request, deadline, ticket))
        val hasOwnKey = request.header(CeleryusherHeaders.IDEMPOTENCY_KEY) != null
        if (hasOwnKey && !route.declaration.idempotent) return failed(ErrorKind.TICKET_REQUIRED, "POST /-/tickets issues one")
        val entry = selection.enter(route, snapshot, clock.now())
        val elapsedSinceFirstTry = milliseconds?.let { selection.elapsedSinceFirstTry(route, it) } ?: Duration.ZERO
        val call = ProxiedCall(route, request, deadline, fingerprint, elapsedSinceFirstTry = elapsedSinceFirstTry)
        if (entry is EntryDecision.Refuse) return refusedAtEntry(call, entry)
        return runWithRetries(call, verdict is CrashVerdict.RunExclusively).also { selection.callEnded(route, it.result, clock.now()) }
    }

    private suspend fun runWithRetries(
        call: ProxiedCall,
        suspectedBefore: Boolean,
    ): ProxyAnswer {
        val tried = mutableSetOf<InstanceName>()
        var suspected = suspectedBefore
        var request = call.request
        var attempts = 0
        var admissionChecks = 0
        var expectedWait: Duration? = null
        while (true) {
            val choice = selection.choose(call.route, tried, clock.now())
            if (choice !is EndpointChoice.Chosen) return failed(ErrorKind.NO_ENDPOINT, call.route.service.name.value)
            tried += choice.endpoint.instance
            val attempt = AttemptId.random(random)
            log.choice(call, attempt, choice, tried.size)
            val reply = placement.place(choice.endpoint, attempt, call, request, suspected)
            noteCrash(call.fingerprint, reply)
            if (RetryPolicy.reachedServer(outcomeOf(reply.result))) attempts++
            if (RetryPolicy.reachedAdmission(outcomeOf(reply.result))) admissionChecks++
            val decision =
                selection.afterAttempt(
                    call.route,
                    reply.result,
                    call.progress(tried, attempts, admissionChecks, reply, MAXIMUM_ADMISSION_CHECKS),
                    clock.now(),
                )
            expectedWait = listOfNotNull(expectedWait, (reply.result as? CallResult.Failed)?.retryAfter).minOrNull()
            when (decision) {
                is RetryDecision.Answer -> return answerAfter(call, reply, decision, expectedWait)
                is RetryDecision.Retry -> metrics.retryMade()
            }
            if (crashes.verdict(call.fingerprint, clock.now()) is CrashVerdict.Quarantined) return ProxyAnswer(reply.result, retried = true)
            suspected = suspected || reply.crashes > 0
            request = call.markedAsRetry
        }
    }

    private fun answerAfter(
        call: ProxiedCall,
        reply: GuardReply,
        decision: RetryDecision.Answer,
        expectedWait: Duration?,
    ): ProxyAnswer {
        if (decision.reason == AnswerReason.BUDGET_SPENT) metrics.retryRefused()
        return ProxyAnswer(withRetryAfter(call, reply.result, expectedWait), decision.markRetried)
    }

    private fun withRetryAfter(
        call: ProxiedCall,
        result: CallResult,
        expectedWait: Duration?,
    ): CallResult {
        if (result !is CallResult.Failed || result.kind.runStatus != RunStatus.NOT_RUN || result.kind.resend == Resend.NEVER) return result
        val now = clock.now()
        val targetLeft = call.targetEnd - now
        return result.copy(retryAfter = RetryAfterPolicy.chooseDelay(expectedWait, targetLeft, call.deadline.left(now), random))
    }

    private fun noteCrash(
        fingerprint: RequestFingerprint,
        reply: GuardReply,
    ) {
        if (reply.crashes > 0) crashes.merge(QuarantineReport(fingerprint, CRASH_MEMORY_MILLISECONDS, reply.crashes), clock.now())
        val ran = (reply.result as? CallResult.Failed)?.kind?.runStatus ?: RunStatus.RAN
        if (ran == RunStatus.RAN) crashes.recordCompletion(fingerprint, clock.now())
    }

    private fun refusedAtEntry(
        call: ProxiedCall,
        entry: EntryDecision.Refuse,
    ): ProxyAnswer {
        decisions.decision(
            "entry",
            "refused",
            "guards refuse this rank",
            "route" to call.route.declaration.name,
            "id" to headers.attemptOf(call.request.headers),
            "share" to entry.probability,
        )
        val refused = CallResult.Failed(ErrorKind.OVERLOADED, "at the entry")
        return ProxyAnswer(withRetryAfter(call, refused, expectedWait = call.deadline.left(clock.now())))
    }

    private fun badDeadline(asked: String): String = "${headers.deadline}: \"$asked\" is not a whole number of milliseconds"

    private fun unrouted(
        request: CallRequest,
        kind: ErrorKind,
        detail: String = "",
    ): ProxyAnswer {
        metrics.unroutedCallEnded(kind)
        return failed(kind, detail).also { log.answered(request, it.result, route = null, routing.current.snapshot) }
    }

    private fun failed(
        kind: ErrorKind,
        detail: String = "",
    ): ProxyAnswer = ProxyAnswer(CallResult.Failed(kind, detail))

    private companion object {
        /** How many guards weigh one call at most; each that refuses costs a round trip and no work of a backend server. */
        const val MAXIMUM_ADMISSION_CHECKS = 4
        const val CRASH_MEMORY_MILLISECONDS = 600_000L
    }
}
