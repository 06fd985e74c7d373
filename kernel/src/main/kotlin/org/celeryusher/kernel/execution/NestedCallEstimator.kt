package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimates how many calls to each service a backend server makes while it runs a request, by route.
 *
 * Calls do not state for which request they are made. The rate at which calls to a route arrive is modelled as a constant rate of callers
 * plus one rate for each request that runs at that time, by route, and the rates are fitted by expectation maximization. As long as the data
 * cannot tell the two apart, nearly all calls are attributed to the server, so that the estimate errs on the high side.
 *
 * Each called route is fitted by itself. Callers that wait for an answer before they send the next request do not send while their request
 * runs, so a rate of callers that were common to all routes of a service would explain calls to other routes, which only runs make. A route
 * that is called too rarely for that, both in all and in relation to the runs, gets the rates of all calls to its service.
 *
 * The data of the last one to two [BLOCK]s is used. Not thread-safe.
 */
public class NestedCallEstimator(
    startedAt: Moment,
) {
    /** Which requests ran, by route, when a call to [target] arrived. */
    private data class Situation(
        val target: CallTarget,
        val running: Map<RouteName, Int>,
        val isOfCaller: Boolean,
    )

    /** The fitted rates of the calls to one target: of callers, and of each run by route. */
    private class Fit(
        val callerRate: Double,
        val rates: Map<RouteName, Double>,
        val counts: Map<RouteName, Double>,
    ) {
        fun probabilityOfRun(candidates: Map<RouteName, Int>): Double {
            val rateOfRuns = candidates.entries.sumOf { (route, count) -> count * (rates[route] ?: 0.0) }
            return if (rateOfRuns <= 0.0) 0.0 else rateOfRuns / (rateOfRuns + callerRate)
        }

        /** Returns these rates with the counts of the calls in [situations] only. */
        fun appliedTo(situations: List<Pair<Situation, Int>>): Fit = Fit(callerRate, rates, attribute(situations, callerRate, rates).ofRuns)
    }

    /** How many calls are attributed to callers, and how many to the runs of each route. */
    private class Attribution(
        val ofCallers: Double,
        val ofRuns: Map<RouteName, Double>,
    )

    private class Block(
        val since: Moment,
    ) {
        val arrivals = HashMap<Situation, Int>()
        val runSeconds = HashMap<RouteName, Double>()
        val runs = HashMap<RouteName, Int>()
    }

    private var previous: Block? = null
    private var current = Block(startedAt)
    private var running: Map<RouteName, Int> = emptyMap()
    private var lastEventAt = startedAt
    private var fittedAt = Moment.DISTANT_PAST
    private var fitted: Map<RouteName, Map<ServiceName, Double>> = emptyMap()
    private var fits: Map<CallTarget, Fit> = emptyMap()
    private var ownFits: Map<CallTarget, Fit> = emptyMap()

    /** Records that a run on [route] starts. */
    public fun started(
        route: RouteName,
        now: Moment,
    ) {
        advance(now)
        running = running + (route to (running[route] ?: 0) + 1)
    }

    /** Records that a run on [route] ends. */
    public fun ended(
        route: RouteName,
        now: Moment,
    ) {
        advance(now)
        val left = (running[route] ?: return) - 1
        running = if (left > 0) running + (route to left) else running - route
        current.runs.merge(route, 1, Int::plus)
    }

    /** Records the arrival of a call to [target]. */
    public fun arrived(
        target: CallTarget,
        isOfCaller: Boolean,
        now: Moment,
    ) {
        advance(now)
        val situation = Situation(target, running, isOfCaller)
        if (situation in current.arrivals || current.arrivals.size < MAXIMUM_SITUATIONS) current.arrivals.merge(situation, 1, Int::plus)
    }

    /** Returns how many calls a run on [route] makes to each service, or null if fewer than [MINIMUM_RUNS] were seen. */
    public fun callsPerRun(
        route: RouteName,
        now: Moment,
    ): Map<ServiceName, Double>? {
        refit(now)
        return if (runsOf(route) < MINIMUM_RUNS) null else fitted[route].orEmpty()
    }

    /** Returns how many calls a run makes to each service, on average over all runs that were seen. */
    public fun meanCallsPerRun(now: Moment): Map<ServiceName, Double> {
        refit(now)
        val runs = fitted.keys.associateWith(::runsOf)
        val total = runs.values.sum().coerceAtLeast(1)
        val mean = HashMap<ServiceName, Double>()
        for ((route, calls) in fitted) {
            for ((service, perRun) in calls) mean.merge(service, perRun * runs.getValue(route) / total, Double::plus)
        }
        return mean
    }

    /**
     * Returns the probability that a call to [target] is made by one of the [candidates], the requests that run now by route, or 0 if it
     * is not known. Uses the last fit, which [callsPerRun] and [meanCallsPerRun] renew.
     */
    public fun probabilityOfRun(
        target: CallTarget,
        candidates: Map<RouteName, Int>,
    ): Double = listOfNotNull(fits[target], ownFits[target]).minOfOrNull { it.probabilityOfRun(candidates) } ?: 0.0

    private val blocks: List<Block> get() = listOfNotNull(previous, current)

    private fun runsOf(route: RouteName): Int = blocks.sumOf { it.runs[route] ?: 0 }

    private fun advance(now: Moment) {
        val seconds = (now - lastEventAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        for ((route, count) in running) current.runSeconds.merge(route, count * seconds, Double::plus)
        lastEventAt = maxOf(lastEventAt, now)
        if (now - current.since < BLOCK) return
        previous = current
        current = Block(now)
    }

    private fun refit(now: Moment) {
        if (now - fittedAt < REFIT_INTERVAL) return
        advance(now)
        fittedAt = now
        val wallSeconds = (now - blocks.first().since).toDouble(DurationUnit.SECONDS)
        val runSeconds = HashMap<RouteName, Double>()
        val arrivals = HashMap<Situation, Int>()
        for (block in blocks) {
            block.runSeconds.forEach { (route, seconds) -> runSeconds.merge(route, seconds, Double::plus) }
            block.arrivals.forEach { (situation, count) -> arrivals.merge(situation, count, Int::plus) }
        }
        val calls = HashMap<RouteName, MutableMap<ServiceName, Double>>()
        val runs = blocks.sumOf { it.runs.values.sum() }
        val minimumArrivals = minOf(MINIMUM_ARRIVALS, MINIMUM_ARRIVALS_PER_RUN * runs)
        fits =
            buildMap {
                for (ofService in arrivals.toList().groupBy { it.first.target.service }.values) {
                    val common by lazy(LazyThreadSafetyMode.NONE) { fit(ofService, runSeconds, wallSeconds) }
                    for ((target, situations) in ofService.groupBy { it.first.target }) {
                        val isFrequent = situations.sumOf { it.second } >= minimumArrivals
                        put(target, if (isFrequent) fit(situations, runSeconds, wallSeconds) else common.appliedTo(situations))
                    }
                }
            }
        ownFits = arrivals.toList().groupBy { it.first.target }.mapValues { (_, situations) -> fit(situations, runSeconds, wallSeconds) }
        for ((target, fit) in fits) {
            for ((route, count) in fit.counts) {
                calls.getOrPut(route, ::HashMap).merge(target.service, count / runsOf(route).coerceAtLeast(1), Double::plus)
            }
        }
        fitted = calls
    }

    /** Returns the rates that explain the calls in [situations], and how many of these are attributed to each route. */
    private fun fit(
        situations: List<Pair<Situation, Int>>,
        runSeconds: Map<RouteName, Double>,
        wallSeconds: Double,
    ): Fit {
        val total = situations.sumOf { it.second }
        var callerRate = INITIAL_CALLER_SHARE * total / wallSeconds
        var rates = runSeconds.keys.associateWith { total / runSeconds.values.sum() }
        var counts: Map<RouteName, Double> = emptyMap()
        repeat(ITERATIONS) {
            val attribution = attribute(situations, callerRate, rates)
            counts = attribution.ofRuns
            callerRate = attribution.ofCallers / wallSeconds
            rates = runSeconds.mapValues { (route, seconds) -> if (seconds > 0.0) (counts[route] ?: 0.0) / seconds else 0.0 }
        }
        return Fit(callerRate, rates, counts)
    }

    private companion object {
        fun attribute(
            situations: List<Pair<Situation, Int>>,
            callerRate: Double,
            rates: Map<RouteName, Double>,
        ): Attribution {
            val ofRuns = HashMap<RouteName, Double>()
            var ofCallers = 0.0
            for ((situation, count) in situations) {
                val weights = if (situation.isOfCaller) emptyMap() else situation.running.mapValues { it.value * (rates[it.key] ?: 0.0) }
                val sum = callerRate + weights.values.sum()
                if (sum <= 0.0) continue
                ofCallers += count * callerRate / sum
                for ((route, weight) in weights) ofRuns.merge(route, count * weight / sum, Double::plus)
            }
            return Attribution(ofCallers, ofRuns)
        }

        /** Long enough for some hundred calls on a busy server, short enough to follow a new configuration. */
        val BLOCK = 30.seconds
        val REFIT_INTERVAL = 1.seconds
        const val MINIMUM_RUNS = 3
        const val ITERATIONS = 40

        /** Fewer calls to a target at a server that is nearly always busy do not move its fit away from [INITIAL_CALLER_SHARE]. */
        const val MINIMUM_ARRIVALS = 30.0

        /** A target that is called about once in each run is fitted by itself from the start: the common fit can hide its calls. */
        const val MINIMUM_ARRIVALS_PER_RUN = 0.5

        /** The share of calls that is attributed to callers before the data is looked at. */
        const val INITIAL_CALLER_SHARE = 0.1

        /** Limits the memory of a block. */
        const val MAXIMUM_SITUATIONS = 2_000
    }
}
