package org.celeryusher.node.call

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.celeryusher.kernel.admission.CallOrigin
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.admission.LoadEvidence
import org.celeryusher.kernel.admission.NestedCallOutcomes
import org.celeryusher.kernel.admission.ReturningCallers
import org.celeryusher.kernel.admission.RunAdmission
import org.celeryusher.kernel.admission.RunDecision
import org.celeryusher.kernel.admission.RunLoad
import org.celeryusher.kernel.admission.RunRefusal
import org.celeryusher.kernel.admission.RunRequest
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.CallTarget
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.metrics.NodeMetrics
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Carries out the admission of whole runs at one node: as the entry of requests, and beside the server whose runs make calls.
 *
 * It is active for the routes whose `runRefusalShare` is above 0. Thread-safe.
 */
internal class RunAccount(
    private val retries: RetryAccount,
    private val random: Random,
    private val metrics: NodeMetrics,
) {
    private val outcomes = NestedCallOutcomes()
    private val admission = RunAdmission(salt = random.nextLong())
    private val returning = ReturningCallers()

    /** The usual service time of each rank of a service, as guards last stated it. */
    private val usualTimes = ConcurrentHashMap<Pair<ServiceName, Int>, Duration>()

    /** The routes of which the guard of this node reports the calls of runs and refuses runs that would be wasted. */
    @Volatile
    var guardRoutes: Set<RouteName> = emptySet()

    private val isGuardEnabled: Boolean get() = guardRoutes.isNotEmpty()

    /** Returns whether a call on [route] that expires at [deadline] is likely made by a run at the server beside this node. */
    fun isOfRun(
        route: ResolvedRoute,
        deadline: Moment?,
        isCertainlyOfCaller: Boolean,
        now: Moment,
    ): Boolean = (isGuardEnabled || isEnabled(route)) && !isCertainlyOfCaller && retries.isLikelyOfRun(route.target, deadline, now)

    /** Returns where a [request] on [route] comes from, which is a call of a run if [isOfRun]. Ask once for each request. */
    fun originOf(
        route: ResolvedRoute,
        request: RequestFingerprint,
        isOfRun: Boolean,
        now: Moment,
    ): CallOrigin =
        when {
            !isEnabled(route) -> CallOrigin.NEW
            isOfRun -> CallOrigin.RUN
            isReturning(request, now) -> CallOrigin.RETURNED.also { metrics.recordReturnedCaller() }
            else -> CallOrigin.NEW
        }

    @Synchronized
    private fun isReturning(
        request: RequestFingerprint,
        now: Moment,
    ): Boolean = returning.isReturning(request, now)

    /** Decides whether [call] is admitted at this node, its entry. */
    fun decide(
        call: ProxiedCall,
        now: Moment,
    ): RunDecision {
        val route = call.route
        if (!isEnabled(route)) return RunDecision.Admit
        val decision = synchronized(this) { admission.decide(requestOf(call), route.settings.runRefusalShare, now, random) }
        if (decision is RunDecision.Refuse) metrics.recordRefusedRun(isAtEntry = true)
        return decision
    }

    /** Records the load report of a guard. */
    fun recordLoad(
        load: GuardLoad?,
        now: Moment,
    ) {
        if (load != null && load.runs.isNotEmpty()) synchronized(this) { admission.recordLoads(load.runs, now) }
    }

    /** Records the load in the [reply] to an attempt of [call]. */
    fun recordReply(
        call: ProxiedCall,
        reply: GuardReply,
        now: Moment,
    ) {
        val load = reply.load
        recordLoad(load, now)
        if (load == null || (!call.isOfRun && !isEnabled(call.route))) return
        val stated = load.ranks.getOrNull(call.route.rankPosition)?.serviceMilliseconds ?: return
        val usual = LoadEvidence.usualTime(stated, wasAnswered = reply.result is CallResult.Answered) ?: return
        usualTimes[call.route.service.name to call.route.rankPosition] = usual
    }

    /** Records the final [result] of an admitted [call]. */
    fun recordEnd(
        call: ProxiedCall,
        result: CallResult,
        now: Moment,
    ) {
        if (!call.isOfRun && !isEnabled(call.route)) return
        // A caller's request that is refused for the sake of a called service shows nothing about this one; a run's call does fail.
        if (!call.isOfRun && result.isRefusedForCalls) return
        val kind = (result as? CallResult.Failed)?.kind
        val arrived = call.request.arrived
        val usual = usualTimes[call.route.service.name to call.route.rankPosition]
        val evidence = LoadEvidence.of(kind, now - arrived, call.deadline.deadline - arrived, usual)
        if (evidence == LoadEvidence.NONE) return
        val isServed = evidence == LoadEvidence.SERVED
        if (call.isOfRun) {
            recordNested(call.route.service.name, isServed, now)
        } else {
            synchronized(this) { admission.recordResult(requestOf(call), isServed, now) }
        }
    }

    /** Records that a [request] of a caller was answered with [result], which may tell the caller when to come back. */
    fun recordAnswer(
        route: ResolvedRoute,
        origin: CallOrigin,
        request: RequestFingerprint,
        result: CallResult,
        now: Moment,
    ) {
        val retryAfter = (result as? CallResult.Failed)?.retryAfter ?: return
        val mayReturn = origin != CallOrigin.RUN && result.kind in overloadRefusals
        if (isEnabled(route) && mayReturn) synchronized(this) { returning.recordRefusal(request, retryAfter, now) }
    }

    /** Records a call to [called], whose service has no server, that expires at [deadline] and may be made by a run. */
    fun recordUnreachable(
        called: CallTarget,
        deadline: Moment?,
        now: Moment,
    ) {
        if (!isGuardEnabled) return
        val isOfCaller = retries.isCertainlyOfCaller(called, deadline, now)
        if (!isOfCaller && retries.isLikelyOfRun(called, deadline, now)) recordNested(called.service, false, now)
    }

    /** Records that a run on [route] at the server beside this node ended with [result]. */
    fun recordRun(
        route: RouteName,
        result: CallResult,
        now: Moment,
    ) {
        if (route !in guardRoutes || result !is CallResult.Answered) return
        synchronized(this) { outcomes.recordRun(route, wasWasted = !result.showsCompletion, now) }
    }

    /** Returns the report on the calls of runs to send at [now], empty when none is due. */
    fun report(now: Moment): List<RunLoad> {
        if (!isGuardEnabled) return emptyList()
        return synchronized(this) { outcomes.report(now) { retries.callsPerRun(it, now) } }.filter { it.route in guardRoutes }
    }

    /** Returns why a run on [route] is not begun, or null if it may begin. */
    fun refusalOf(
        route: RouteName,
        now: Moment,
    ): RunRefusal? {
        if (route !in guardRoutes) return null
        return synchronized(this) { outcomes.refusalOf(route, now) }?.also { metrics.recordRefusedRun(isAtEntry = false) }
    }

    /** Returns the state for the status page. */
    @Synchronized
    fun describe(now: Moment): JsonElement =
        buildJsonObject {
            put("enabled", isGuardEnabled)
            put(
                "calledServices",
                buildJsonArray {
                    for (state in admission.current(now)) {
                        add(
                            JsonObject(
                                mapOf(
                                    "service" to JsonPrimitive(state.called.value),
                                    "admittedShare" to JsonPrimitive(state.admittedShare),
                                    "servedShare" to JsonPrimitive(state.servedShare),
                                ),
                            ),
                        )
                    }
                },
            )
            put(
                "callsOfRuns",
                buildJsonArray {
                    for (load in outcomes.current(now)) {
                        add(
                            JsonObject(
                                mapOf(
                                    "route" to JsonPrimitive(load.route.value),
                                    "service" to JsonPrimitive(load.called.value),
                                    "callsPerHundredRuns" to JsonPrimitive(load.callsPerHundredRuns),
                                    "recentCalls" to JsonPrimitive(load.recentCalls),
                                    "servedPercent" to JsonPrimitive(load.servedPercent),
                                ),
                            ),
                        )
                    }
                },
            )
        }

    @Synchronized
    private fun recordNested(
        called: ServiceName,
        isServed: Boolean,
        now: Moment,
    ) {
        outcomes.recordCall(called, isServed, now)
        metrics.recordCallOfRun(isServed)
    }

    private fun isEnabled(route: ResolvedRoute): Boolean = route.settings.runRefusalShare > 0.0

    private fun requestOf(call: ProxiedCall): RunRequest =
        call.route.let { RunRequest(it.declaration.name, it.service.name, it.rankPosition, call.origin, call.fingerprint) }

    private companion object {
        val overloadRefusals = setOf(ErrorKind.OVERLOADED, ErrorKind.DEADLINE_BEFORE_START)
    }
}
