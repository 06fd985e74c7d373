package org.celeryusher.kernel.admission

import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** What an entry node knows of a service that runs call, for operators. */
public data class CalledServiceState(
    public val called: ServiceName,
    public val admittedShare: Double,
    public val servedShare: Double,
)

/**
 * Decides at the entry which requests are admitted, given that their runs call other services.
 *
 * Addresses the overload of a called service: a run that it refuses a call ends with an error, and its slot time is lost. The share of the
 * load that is admitted follows the calls that the most constrained of its services serves in time, and is divided by rank among the
 * requests that need this service: those whose runs call it, and those that callers send to it. Calls of running requests are not decided
 * on here. Without nested calls, fresh data or refusals, everything is admitted. [salt] differs between nodes. Not thread-safe.
 */
public class RunAdmission(
    private val salt: Long = 0,
) {
    private val services = LinkedHashMap<ServiceName, CalledService>()
    private val arrived = DecayedCount(MEAN_TIME_CONSTANT)
    private val admitted = DecayedCount(MEAN_TIME_CONSTANT)

    /** Records the [loads] in the load report of a guard. Implausible ones are ignored. */
    public fun recordLoads(
        loads: List<RunLoad>,
        now: Moment,
    ) {
        if (loads.isEmpty()) return
        services.values.removeIf { it.isForgotten(now) }
        for (load in loads.filter(RunLoad::isPlausible)) {
            if (services.size < MAXIMUM_SERVICES || load.called in services) {
                services.getOrPut(load.called, ::CalledService).recordReport(load, now)
            }
        }
    }

    /** Records whether an admitted [request] was served, rather than refused because of load. */
    public fun recordResult(
        request: RunRequest,
        isServed: Boolean,
        now: Moment,
    ) {
        if (request.origin != CallOrigin.RUN) services[request.service]?.recordResult(isServed, now)
    }

    /** Decides on [request], of which no more than [largestRefusedShare] of those on its route may be refused. */
    public fun decide(
        request: RunRequest,
        largestRefusedShare: Double,
        now: Moment,
        random: Random,
    ): RunDecision {
        if (services.isEmpty() || request.origin == CallOrigin.RUN) return RunDecision.Admit
        arrived.add(1.0, now)
        val refusal = tightest(request, now)?.let { (called, share) -> refusal(request, called, share, largestRefusedShare, now, random) }
        if (refusal == null) admitted.add(1.0, now)
        return refusal ?: RunDecision.Admit
    }

    /** Returns the state of all called services that this node has fresh reports about. */
    public fun current(now: Moment): List<CalledServiceState> =
        services.filterValues { !it.isForgotten(now) }.map { (name, called) ->
            CalledServiceState(name, called.admittedShare, called.servedShare())
        }

    /** Returns the called service that admits the smallest share of the requests on this route, and that share. */
    private fun tightest(
        request: RunRequest,
        now: Moment,
    ): Pair<ServiceName, Double>? {
        val meanShare = if (arrived.at(now) > 0.0) (admitted.at(now) / arrived.at(now)).coerceAtMost(1.0) else 1.0
        return services
            .filter { (name, called) ->
                called.update(now)
                called.recordRequest(request, isDirect = name == request.service, now)
            }.map { (name, called) -> name to called.shareOf(request.route, meanShare, now) }
            .filter { it.second < 1.0 }
            .minByOrNull { it.second }
    }

    private fun refusal(
        request: RunRequest,
        called: ServiceName,
        share: Double,
        largestRefusedShare: Double,
        now: Moment,
        random: Random,
    ): RunDecision? {
        val allowed = maxOf(share, 1.0 - largestRefusedShare)
        val service = services.getValue(called)
        val isReturned = request.origin == CallOrigin.RETURNED
        val draw = request.fingerprint?.takeUnless { isReturned }?.let { RequestDraw.of(it, salt, now) } ?: random.nextDouble()
        if (draw < service.probabilityOf(request.route, isReturned, allowed, now)) return null
        return RunDecision.Refuse(called, allowed, service.servedShare(), service.timeToNextAdmission(request.route, allowed, now))
    }

    private companion object {
        val MEAN_TIME_CONSTANT = 5.seconds
        const val MAXIMUM_SERVICES = 128
    }
}
