package org.celeryusher.node.call

import org.celeryusher.kernel.admission.CallOrigin
import org.celeryusher.kernel.admission.RunDecision
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.distribution.ConfigurationRecency
import org.celeryusher.kernel.distribution.ConfigurationUse
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.Resend
import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.DeadlineBudget
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.RetryAfterPolicy
import org.celeryusher.kernel.execution.RetryDecision
import org.celeryusher.kernel.execution.RetryPolicy
import org.celeryusher.kernel.routing.EndpointChoice
import org.celeryusher.kernel.routing.HeldCause
import org.celeryusher.kernel.routing.HeldRoute
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.kernel.routing.SplitRoute
import org.celeryusher.kernel.routing.ThrottleDecision
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.NodeMetrics
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The result of a call, and whether the response must be marked as retried. */
internal class ProxyResult(
    val result: CallResult,
    val retried: Boolean = false,
    /** The result of the last attempt, which shows the load although the caller may get that of an earlier one. */
    val latest: CallResult = result,
)

/**
 * Routes the requests of callers to backend servers, and retries an attempt where that is safe.
 *
 * Attempts go to the guard of the chosen instance, which does admission control in front of that instance's backend server.
 */
internal class CallProxy(
    private val headers: CallHeaders,
    private val routing: RoutingState,
    private val dispatcher: AttemptDispatcher,
    private val hedges: HedgedDispatcher,
    private val tickets: TicketRouter,
    private val selection: EndpointSelection,
    private val crashes: CrashRegistry,
    private val retries: RetryAccount,
    private val runs: RunAccount,
    private val clock: ProcessClock,
    private val random: Random,
    private val metrics: NodeMetrics,
    private val decisions: DecisionLog,
    private val log: CallLog,
    private val knowledge: FleetKnowledge,
) {
    /** Routes [request], runs it with retries, and returns the result for the caller. */
    suspend fun run(request: CallRequest): ProxyResult {
        knowledge.awaitRefresh()
        val current = routing.current
        val table = current.table ?: return failUnrouted(request, ErrorKind.NO_CONFIGURATION)
        val recency = knowledge.configurationRecency(clock.now())
        val use = knowledge.useOf(recency)
        if (use is ConfigurationUse.None) return failOld(request, use.reason.name, recency)
        val route = table.match(request.method, request.path, request.hostName)
        return when (val drawn = if (route is SplitRoute) route.draw(random) else route) {
            null -> if (use is ConfigurationUse.Full) failNoRoute(request, recency) else failOld(request, "no known route", recency)
            is HeldRoute -> {
                if (drawn.cause == HeldCause.NO_SERVER) {
                    runs.recordUnreachable(drawn.target, statedDeadline(request), clock.now())
                }
                failHeld(request, drawn)
            }
            is ResolvedRoute -> runWithMetrics(drawn, request, checkNotNull(current.snapshot))
            is SplitRoute -> error("a part of a split route is not split again")
        }
    }

    private suspend fun runWithMetrics(
        route: ResolvedRoute,
        request: CallRequest,
        snapshot: ConfigurationSnapshot,
    ): ProxyResult {
        val answer = runOnRoute(route, request, snapshot)
        log.callAnswered(request, answer.result, route.declaration.name, routing.current.snapshot)
        val kind = (answer.result as? CallResult.Failed)?.kind
        metrics.recordCall(route.declaration.name, route.declaration.rank, kind, clock.now() - request.arrived)
        return answer
    }

    private suspend fun runOnRoute(
        route: ResolvedRoute,
        request: CallRequest,
        snapshot: ConfigurationSnapshot,
    ): ProxyResult {
        val text = request.header(headers.deadline)
        val milliseconds = text?.toLongOrNull()
        if (text != null && (milliseconds == null || milliseconds < 0)) return failed(ErrorKind.BAD_REQUEST, malformedDeadline(text))
        val deadline = DeadlineBudget.onArrival(milliseconds, route.settings.deadlineMilliseconds.milliseconds, request.arrived)
        val fingerprint = RequestFingerprint.of(request.method, request.target, request.body)
        val verdict = crashes.verdict(fingerprint, clock.now())
        if (verdict is CrashVerdict.Quarantined) {
            decisions.record("crash", "refused", "quarantined", "id" to headers.attemptOf(request.headers), "request" to fingerprint)
            return ProxyResult(CallResult.Failed(ErrorKind.QUARANTINED, retryAfter = verdict.remaining))
        }
        val ticket = request.header(CeleryusherHeaders.TICKET)
        if (ticket != null) return ProxyResult(tickets.run(route, request, deadline, ticket))
        val hasOwnKey = request.header(CeleryusherHeaders.IDEMPOTENCY_KEY) != null
        if (hasOwnKey && !route.declaration.idempotent) return failed(ErrorKind.TICKET_REQUIRED, "POST /-/tickets issues one")
        val isCertainlyOfCaller = retries.isCertainlyOfCaller(route.target, statedDeadline(request), clock.now())
        val isOfRun = runs.isOfRun(route, statedDeadline(request), isCertainlyOfCaller, clock.now())
        val origin = runs.originOf(route, fingerprint, isOfRun, clock.now())
        // The deadline of a run's call is what is left of the run's own, and says nothing about earlier tries.
        val ownDeadline = milliseconds?.takeIf { origin != CallOrigin.RUN }
        val elapsedSinceFirstTry = ownDeadline?.let { selection.elapsedSinceFirstTry(route, it) } ?: Duration.ZERO
        val call = ProxiedCall(route, request, deadline, fingerprint, null, null, elapsedSinceFirstTry, origin, isOfRun)
        val first = if (isCertainlyOfCaller) AttemptKind.REQUEST else AttemptKind.FIRST
        return admitAndRun(call, first, verdict is CrashVerdict.RunExclusively, snapshot).also {
            runs.recordAnswer(route, origin, fingerprint, it.result, clock.now())
        }
    }

    private suspend fun admitAndRun(
        call: ProxiedCall,
        first: AttemptKind,
        suspected: Boolean,
        snapshot: ConfigurationSnapshot,
    ): ProxyResult {
        val decision = runs.decide(call, clock.now())
        if (decision is RunDecision.Refuse) return rejectRun(call, decision)
        if (call.origin != CallOrigin.RUN) {
            val throttleDecision = selection.checkThrottle(call.route, snapshot, clock.now())
            if (throttleDecision is ThrottleDecision.Refuse) return rejectThrottled(call, throttleDecision)
        }
        return runWithRetries(call, first, suspected).also {
            selection.recordCallEnd(call.route, it.latest, clock.now())
            runs.recordEnd(call, it.latest, clock.now())
        }
    }

    private suspend fun runWithRetries(
        call: ProxiedCall,
        first: AttemptKind,
        suspectedBefore: Boolean,
    ): ProxyResult {
        val attempts = CallAttempts(call)
        val tried = attempts.tried
        var suspected = suspectedBefore
        var request = call.request
        while (true) {
            val choice = selection.choose(call.route, tried, clock.now())
            if (choice !is EndpointChoice.Chosen) return answerWithoutEndpoint(call, attempts)
            tried += choice.endpoint.instance
            val attempt = AttemptId.random(random)
            log.endpointChosen(call, attempt, choice, tried.size)
            val kind = attempts.kindOfNext(first)
            val isHedged = tried.size == 1 && hedges.isEnabledFor(call)
            val hedged = if (isHedged) hedges.dispatch(choice.endpoint, attempt, call, suspected, kind, tried) else null
            val reply = hedged?.counted?.reply ?: dispatcher.dispatch(choice.endpoint, attempt, call, request, suspected, kind)
            runs.recordReply(call, reply, clock.now())
            hedged?.other?.let { runs.recordLoad(it.reply.load, clock.now()) }
            if (hedged == null) crashes.recordReply(call.fingerprint, choice.endpoint, reply, clock.now())
            val answer = attempts.record(reply, hedged)
            val outcome = outcomeOf(reply.result)
            when (val decision = RetryPolicy.decide(outcome, attempts.progress(reply), clock.now())) {
                is RetryDecision.Answer -> {
                    if (RetryPolicy.isBudgetRefusal(outcome)) metrics.recordRefusedRetry()
                    val isRetried = decision.markRetried || answer !== reply.result
                    return ProxyResult(withRetryAfter(call, answer, attempts.expectedWait), isRetried, latest = reply.result)
                }
                is RetryDecision.Retry -> metrics.recordRetry()
            }
            if (crashes.verdict(call.fingerprint, clock.now()) is CrashVerdict.Quarantined) return ProxyResult(answer, retried = true)
            suspected = suspected || reply.crash != null || hedged?.other?.reply?.crash != null
            request = call.markedAsRetry
        }
    }

    /** Answers a call for which no endpoint is left. */
    private fun answerWithoutEndpoint(
        call: ProxiedCall,
        attempts: CallAttempts,
    ): ProxyResult {
        val isEvacuated = selection.isEvacuated(call.route)
        val none = CallResult.Failed(if (isEvacuated) ErrorKind.EVACUATED else ErrorKind.NO_ENDPOINT, call.route.service.name.value)
        val answer = attempts.answerAfter(none)
        val isReplaced = answer === none
        if (isReplaced && isEvacuated) metrics.recordEvacuationRefusal()
        val wait = if (isReplaced && isEvacuated) HELD_RETRY_AFTER else attempts.expectedWait
        return ProxyResult(withRetryAfter(call, answer, wait), retried = !isReplaced)
    }

    private fun failHeld(
        request: CallRequest,
        route: HeldRoute,
    ): ProxyResult {
        if (route.cause == HeldCause.EVACUATED) metrics.recordEvacuationRefusal()
        val retryAfter = HELD_RETRY_AFTER.takeIf { route.cause != HeldCause.NO_SERVER }
        // The work of a ticket may have run before, so its refusal must not state that it has not.
        val hasTicket = request.header(CeleryusherHeaders.TICKET) != null
        val kind = if (hasTicket) ErrorKind.TICKET_OWNER_UNREACHABLE else route.cause.error
        return failUnrouted(request, kind, route.declaration.service.value, retryAfter)
    }

    private fun withRetryAfter(
        call: ProxiedCall,
        result: CallResult,
        expectedWait: Duration?,
    ): CallResult {
        if (result !is CallResult.Failed || result.kind.runStatus != RunStatus.NOT_RUN || result.kind.resend == Resend.NEVER) return result
        val now = clock.now()
        val targetLeft = call.targetDeadline - now
        return result.copy(retryAfter = RetryAfterPolicy.chooseDelay(expectedWait, targetLeft, call.deadline.left(now), random))
    }

    private fun rejectRun(
        call: ProxiedCall,
        decision: RunDecision.Refuse,
    ): ProxyResult {
        decisions.record(
            "entry",
            "refused",
            "calls of its run would be refused",
            "route" to call.route.declaration.name,
            "id" to headers.attemptOf(call.request.headers),
            "called" to decision.called,
            "admitted" to decision.admittedShare,
            "served" to decision.servedShare,
            "origin" to call.origin,
        )
        val refused = CallResult.Failed(ErrorKind.OVERLOADED, "${decision.called} is overloaded")
        return ProxyResult(withRetryAfter(call, refused, decision.retryAfter))
    }

    private fun rejectThrottled(
        call: ProxiedCall,
        throttleDecision: ThrottleDecision.Refuse,
    ): ProxyResult {
        decisions.record(
            "entry",
            "refused",
            "guards refuse this rank",
            "route" to call.route.declaration.name,
            "id" to headers.attemptOf(call.request.headers),
            "share" to throttleDecision.probability,
        )
        val refused = CallResult.Failed(ErrorKind.OVERLOADED, "at the entry")
        return ProxyResult(withRetryAfter(call, refused, expectedWait = call.deadline.left(clock.now())))
    }

    private fun statedDeadline(request: CallRequest): Moment? =
        request.header(headers.deadline)?.toLongOrNull()?.let { request.arrived + it.milliseconds }

    private fun malformedDeadline(text: String): String = "${headers.deadline}: \"$text\" is not a whole number of milliseconds"

    private fun failNoRoute(
        request: CallRequest,
        recency: ConfigurationRecency?,
    ): ProxyResult =
        failUnrouted(request, ErrorKind.NO_ROUTE, "${request.method} ${request.host}${request.path}", retryAfter = null, recency)

    private fun failOld(
        request: CallRequest,
        reason: String,
        recency: ConfigurationRecency?,
    ): ProxyResult {
        // The work of a ticket may have run before, so its refusal must not state that it has not.
        val hasTicket = request.header(CeleryusherHeaders.TICKET) != null
        val kind = if (hasTicket) ErrorKind.TICKET_OWNER_UNREACHABLE else ErrorKind.CONFIGURATION_OLD
        return failUnrouted(request, kind, reason, OLD_RETRY_AFTER, recency)
    }

    private fun failUnrouted(
        request: CallRequest,
        kind: ErrorKind,
        detail: String = "",
        retryAfter: Duration? = null,
        recency: ConfigurationRecency? = null,
    ): ProxyResult {
        metrics.recordUnroutedCall(kind)
        return ProxyResult(CallResult.Failed(kind, detail, retryAfter)).also {
            log.callAnswered(request, it.result, route = null, routing.current.snapshot, recency)
        }
    }

    private fun failed(
        kind: ErrorKind,
        detail: String = "",
    ): ProxyResult = ProxyResult(CallResult.Failed(kind, detail))

    private companion object {
        /** The time after which a caller may try a held route again. An evacuation lasts longer than any call; its end is not foreseeable. */
        val HELD_RETRY_AFTER = 1.seconds

        /** The time after which a node that hears the fleet again has usually confirmed its configuration. */
        val OLD_RETRY_AFTER = 500.milliseconds
    }
}
