package org.celeryusher.node.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.isRecoverable
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.HedgeCall
import org.celeryusher.kernel.execution.HedgeDecision
import org.celeryusher.kernel.execution.HedgePolicy
import org.celeryusher.kernel.execution.HedgeRace
import org.celeryusher.kernel.execution.HedgeRefusal
import org.celeryusher.kernel.execution.HedgeSummary
import org.celeryusher.kernel.execution.Outcome
import org.celeryusher.kernel.execution.RetryPolicy
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.routing.EndpointChoice
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.HedgeMeters
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import kotlin.random.Random
import kotlin.time.Duration

/** The reply to an attempt at [endpoint]. */
internal class EndedAttempt(
    val endpoint: Member,
    val reply: GuardReply,
) {
    val outcome: Outcome get() = outcomeOf(reply.result)
}

/** The result of a first attempt that may have been hedged. */
internal class HedgedReply(
    /** The attempt whose result counts. */
    val counted: EndedAttempt,
    /** The other attempt, or null if there was none or it was cancelled. */
    val other: EndedAttempt? = null,
    /** The number of attempts besides [counted] that may have reached a backend server. */
    val furtherAttempts: Int = 0,
)

/** Sends first attempts, and a second copy of those that [HedgePolicy] decides to hedge. */
internal class HedgedDispatcher(
    private val routing: RoutingState,
    private val dispatcher: AttemptDispatcher,
    private val selection: EndpointSelection,
    private val crashes: CrashRegistry,
    private val clock: ProcessClock,
    private val random: Random,
    private val meters: HedgeMeters,
    private val decisions: DecisionLog,
    private val log: CallLog,
) {
    private val policy = HedgePolicy()

    /** What is known about the routes whose calls may be hedged. */
    val summaries: List<HedgeSummary> get() = synchronized(policy) { policy.summaries(clock.now()) }

    /** Returns whether operators allow to hedge [call]. */
    fun isEnabledFor(call: ProxiedCall): Boolean = call.route.settings.hedgeShare > 0.0 && call.route.declaration.idempotent

    /**
     * Runs the first [attempt] of [call] at [endpoint], and a copy of it if that is late.
     *
     * Adds the endpoint of the copy to [tried], unless its guard refused the copy only because of the retry budget. When one of the two is
     * answered or shows a crash, or the caller leaves, what still runs is cancelled. Crashes are recorded as soon as an attempt ends.
     */
    suspend fun dispatch(
        endpoint: Member,
        attempt: AttemptId,
        call: ProxiedCall,
        suspected: Boolean,
        kind: AttemptKind,
        tried: MutableSet<InstanceName>,
    ): HedgedReply {
        val hedge = hedgeCall(call, call.route, suspected)
        val startedAt = clock.now()
        val delay = synchronized(policy) { policy.begin(hedge, startedAt) }
        if (delay == null) {
            val reply = dispatcher.dispatch(endpoint, attempt, call, call.request, suspected, kind)
            return HedgedReply(ended(endpoint, reply, call, startedAt))
        }
        return coroutineScope {
            val first =
                async(start = CoroutineStart.UNDISPATCHED) {
                    ended(endpoint, dispatcher.dispatch(endpoint, attempt, call, call.request, suspected, kind), call, startedAt)
                }
            val early = withTimeoutOrNull(delay) { first.await() }
            val choice = if (early == null && !first.isCompleted) chooseForCopy(call, hedge, attempt, tried) else null
            if (choice == null) {
                HedgedReply(early ?: first.await())
            } else {
                val race = RaceContext(call, hedge, delay, clock, meters, decisions) { recordLatency(call, clock.now() - startedAt) }
                val copy = async(start = CoroutineStart.UNDISPATCHED) { runCopy(choice, call, tried.size) }
                HedgedAttempts(RunningAttempt(endpoint, first), RunningAttempt(choice.endpoint, copy), race).awaitResult().also {
                    recordTried(it, choice.endpoint, tried)
                }
            }
        }
    }

    private fun hedgeCall(
        call: ProxiedCall,
        route: ResolvedRoute,
        suspected: Boolean,
    ): HedgeCall =
        HedgeCall(
            route = route.declaration.name,
            idempotent = route.declaration.idempotent,
            share = route.settings.hedgeShare,
            maximumAttempts = route.settings.maximumAttempts,
            deadline = call.deadline,
            otherEndpoints = route.endpoints.size - 1,
            requestIsRetry = call.request.header(CeleryusherHeaders.RETRY) != null,
            isSuspected = suspected,
            arrivedAt = call.request.arrived,
        )

    /** Returns the route of [call] in the routing table in force, since servers may have been left out of it after the call arrived. */
    private fun currentRoute(call: ProxiedCall): ResolvedRoute? =
        routing.current.table
            ?.resolved
            ?.find { it.declaration.name == call.route.declaration.name && it.service.name == call.route.service.name }

    /** Returns the endpoint for a copy, to which a call is then counted, or null if no copy is sent. */
    private fun chooseForCopy(
        call: ProxiedCall,
        hedge: HedgeCall,
        attempt: AttemptId,
        tried: Set<InstanceName>,
    ): EndpointChoice.Chosen? {
        val now = clock.now()
        // Since the call arrived, another node may have reported a crash during a request with the same fingerprint.
        if (crashes.verdict(call.fingerprint, now) != CrashVerdict.RunNormally) return null
        val route = currentRoute(call)
        // The settings may have changed while the first attempt ran.
        val currentHedge = if (route == null) hedge else hedgeCall(call, route, hedge.isSuspected)
        val choice = route?.let { selection.choose(it, tried, now) } as? EndpointChoice.Chosen
        val candidate = choice?.let { selection.hedgeCandidate(route, it.endpoint, now) }
        val decision = synchronized(policy) { policy.decide(currentHedge, candidate, now) }
        val isSent = decision is HedgeDecision.Send
        decisions.record(
            "hedge",
            if (isSent) "sent" else "not sent",
            (decision as? HedgeDecision.Refuse)?.reason?.name ?: "later than usual",
            "route" to hedge.route,
            "attempt" to attempt,
            "server" to choice?.endpoint?.instance,
            "usual" to (decision as? HedgeDecision.Send)?.usualLatency,
        )
        if (isSent) return choice
        if (choice != null) selection.recordAbandoned(choice.endpoint.instance, now)
        if (decision is HedgeDecision.Refuse && decision.reason == HedgeRefusal.OVERLOAD) meters.recordOverload()
        return null
    }

    // A fault in sending the copy must not end the first attempt.
    private suspend fun runCopy(
        choice: EndpointChoice.Chosen,
        call: ProxiedCall,
        triedBefore: Int,
    ): EndedAttempt {
        val attempt = AttemptId.random(random)
        meters.recordSent()
        log.endpointChosen(call, attempt, choice, triedBefore + 1)
        val reply =
            try {
                dispatcher.dispatch(choice.endpoint, attempt, call, call.markedAsRetry, suspected = false, AttemptKind.REPEAT)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (error: Throwable) {
                if (!error.isRecoverable) throw error
                logger.error(error) { "internal error while sending a copy of a call to ${choice.endpoint.instance}" }
                selection.recordAbandoned(choice.endpoint.instance, clock.now())
                GuardReply(CallResult.Failed(ErrorKind.INTERNAL, error.javaClass.simpleName), load = null)
            }
        crashes.recordReply(call.fingerprint, choice.endpoint, reply, clock.now())
        return EndedAttempt(choice.endpoint, reply)
    }

    private fun recordTried(
        result: HedgedReply,
        copyEndpoint: Member,
        tried: MutableSet<InstanceName>,
    ) {
        val copy = listOfNotNull(result.counted, result.other).find { it.endpoint === copyEndpoint }
        if (copy == null || !RetryPolicy.isBudgetRefusal(copy.outcome)) tried += copyEndpoint.instance
    }

    private fun ended(
        endpoint: Member,
        reply: GuardReply,
        call: ProxiedCall,
        startedAt: Moment,
    ): EndedAttempt {
        val ended = EndedAttempt(endpoint, reply)
        crashes.recordReply(call.fingerprint, endpoint, reply, clock.now())
        if (HedgeRace.isUsable(ended.outcome)) recordLatency(call, clock.now() - startedAt)
        return ended
    }

    private fun recordLatency(
        call: ProxiedCall,
        latency: Duration,
    ): Unit = synchronized(policy) { policy.recordLatency(call.route.declaration.name, latency, clock.now()) }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
