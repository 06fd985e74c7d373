package org.celeryusher.kernel.admission

import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The refusal of a run whose calls to [called] would be refused; the next run begins in [retryAfter]. */
public data class RunRefusal(
    public val called: ServiceName,
    public val retryAfter: Duration,
)

/**
 * The outcomes of the calls that the backend server beside a node makes, and whether its runs fail with them.
 *
 * Addresses the overload of a called service: runs whose calls are refused end with an error of the server, and the slot time that they
 * took is lost. Calls that fail count only if the runs fail too, since a server may do without the answer. Not thread-safe.
 */
public class NestedCallOutcomes {
    private class Calls {
        val offered = DecayedCount(callTimeConstant)
        val served = DecayedCount(callTimeConstant)
        val lately = DecayedCount(refusalTimeConstant)
        val servedLately = DecayedCount(refusalTimeConstant)
        var failuresInARow = 0
        var isRefusing = false
        var failedAt = Moment.DISTANT_PAST
    }

    private class Runs {
        val ended = DecayedCount(runTimeConstant)
        val wasted = DecayedCount(runTimeConstant)
        var callsPerRun: Map<ServiceName, Double> = emptyMap()
        var estimateDueAt = Moment.DISTANT_PAST
        var estimatedAt = Moment.DISTANT_PAST
        var begunAt = Moment.DISTANT_PAST
    }

    private val calls = HashMap<ServiceName, Calls>()
    private val runs = LinkedHashMap<RouteName, Runs>()
    private val failedCalls = DecayedCount(runTimeConstant)
    private var reportedAt = Moment.DISTANT_PAST

    /** Records that a call of a run to [called] ended, and whether it [wasServed]: answered in time and without an error. */
    public fun recordCall(
        called: ServiceName,
        wasServed: Boolean,
        now: Moment,
    ) {
        val counts = calls.getOrPut(called, ::Calls)
        counts.offered.add(1.0, now)
        counts.lately.add(1.0, now)
        counts.failuresInARow = if (wasServed) 0 else counts.failuresInARow + 1
        if (wasServed) {
            counts.served.add(1.0, now)
            counts.servedLately.add(1.0, now)
        } else {
            failedCalls.add(1.0, now)
            counts.failedAt = now
        }
        val isHardlyServed =
            counts.failuresInARow >= FAILURES_OF_REFUSING && counts.servedLately.at(now) < counts.lately.at(now) * MAXIMUM_SHARE_OF_REFUSING
        counts.isRefusing = isHardlyServed && (counts.isRefusing || areRunsWasted(now))
    }

    /** Records that a run on [route] ended, and whether it [wasWasted]: the server answered with an error of its own. */
    public fun recordRun(
        route: RouteName,
        wasWasted: Boolean,
        now: Moment,
    ) {
        if (runs.size >= MAXIMUM_ROUTES && route !in runs) runs.remove(runs.keys.first())
        val counts = runs.getOrPut(route, ::Runs)
        counts.ended.add(1.0, now)
        if (wasWasted) counts.wasted.add(1.0, now)
    }

    /**
     * Returns the report to send with an answer at [now], empty when none is due. [callsPerRun] estimates the calls of a run by service and
     * is asked only every few seconds, because its answer costs far more than a report.
     */
    public fun report(
        now: Moment,
        callsPerRun: (RouteName) -> Map<ServiceName, Double>?,
    ): List<RunLoad> {
        for ((route, counts) in runs) {
            if (now < counts.estimateDueAt) continue
            val estimate = callsPerRun(route)
            counts.estimateDueAt = now + (if (estimate == null) estimateIntervalWhenUnknown else estimateInterval)
            counts.estimatedAt = now
            counts.callsPerRun = estimate.orEmpty().filterValues { it >= MINIMUM_CALLS_PER_RUN }
        }
        val loads = current(now)
        val interval = if (loads.any { it.servedPercent < 100 }) reportIntervalWhenFailing else reportInterval
        if (loads.isEmpty() || now - reportedAt < interval) return emptyList()
        reportedAt = now
        return loads
    }

    /** Returns the state of all routes with calls, for reports and operators. */
    public fun current(now: Moment): List<RunLoad> =
        runs
            .filterValues { now - it.estimatedAt <= estimateLifetime }
            .flatMap { (route, counts) ->
                counts.callsPerRun.map { (called, perRun) ->
                    val offered = calls[called]?.offered?.at(now) ?: 0.0
                    RunLoad(route, called, (perRun * 100).roundToInt(), offered.roundToInt(), (servedShare(called, now) * 100).roundToInt())
                }
            }.take(MAXIMUM_LOADS)

    /**
     * Returns why a run on [route] would be wasted with near certainty, or null if the run may begin. One run in each [probeInterval] begins
     * in any case, so that a recovery is seen. Failures and estimates that have aged refuse nothing.
     */
    public fun refusalOf(
        route: RouteName,
        now: Moment,
    ): RunRefusal? {
        val counts = runs[route]?.takeIf { now - it.estimatedAt <= estimateLifetime } ?: return null
        val refusing =
            counts.callsPerRun.entries
                .firstOrNull { (called, perRun) -> perRun >= CERTAIN_CALLS_PER_RUN && calls[called]?.let { isRefusing(it, now) } == true }
                ?.key
        val untilProbe = counts.begunAt + probeInterval - now
        if (refusing != null && untilProbe.isPositive()) return RunRefusal(refusing, untilProbe)
        counts.begunAt = now
        return null
    }

    private fun isRefusing(
        counts: Calls,
        now: Moment,
    ): Boolean = counts.isRefusing && now - counts.failedAt <= refusalLifetime

    private fun servedShare(
        called: ServiceName,
        now: Moment,
    ): Double {
        val counts = calls[called] ?: return 1.0
        val offered = counts.offered.at(now)
        return if (offered < 1.0 || !areRunsWasted(now)) 1.0 else (counts.served.at(now) / offered).coerceIn(0.0, 1.0)
    }

    private fun areRunsWasted(now: Moment): Boolean {
        val wasted = runs.values.filter { it.callsPerRun.isNotEmpty() }.sumOf { it.wasted.at(now) }
        return wasted >= 1.0 && wasted >= failedCalls.at(now) * MINIMUM_WASTED_SHARE
    }

    private companion object {
        /** About the time in which overload of a called service develops and ends. */
        val callTimeConstant = 700.milliseconds

        /** Shorter, because each run that begins in the meantime is wasted. */
        val refusalTimeConstant = 200.milliseconds

        /** Longer, because a run ends after its calls and fails less often than they do. */
        val runTimeConstant = 3.seconds

        /** The estimate of calls per run costs some milliseconds and covers 30 to 60 seconds of calls. */
        val estimateInterval = 5.seconds
        val estimateIntervalWhenUnknown = 2.seconds
        val reportInterval = 250.milliseconds
        val reportIntervalWhenFailing = 50.milliseconds
        val probeInterval = 1.seconds

        /** Covers two probes. Without newer failures than that, nothing is known of the called service. */
        val refusalLifetime = 2.seconds

        /** Covers the data of an estimate, which is at most as old. */
        val estimateLifetime = 60.seconds

        /** Fewer calls per run are mostly errors of the estimate. */
        const val MINIMUM_CALLS_PER_RUN = 0.1

        /** So many calls in a run that hardly any run does without. */
        const val CERTAIN_CALLS_PER_RUN = 0.8

        /** So many calls that fail one after the other mean that hardly any is served. */
        const val FAILURES_OF_REFUSING = 4

        /** With a larger share of calls served, failures in a row are chance. */
        const val MAXIMUM_SHARE_OF_REFUSING = 0.1

        /** With fewer wasted runs for each failed call, the server tolerates failed calls. */
        const val MINIMUM_WASTED_SHARE = 0.25
        const val MAXIMUM_ROUTES = 256

        /** Limits the size of a report. */
        const val MAXIMUM_LOADS = 8
    }
}
