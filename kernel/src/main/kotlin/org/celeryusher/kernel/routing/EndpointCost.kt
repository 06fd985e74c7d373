package org.celeryusher.kernel.routing

import org.celeryusher.kernel.routing.EndpointStatistics.Companion.GUARD_LOAD_TIME_CONSTANT
import org.celeryusher.kernel.routing.EndpointStatistics.Companion.LATENCY_TIME_CONSTANT
import org.celeryusher.kernel.routing.EndpointStatistics.Companion.REPORT_TIME_CONSTANT
import org.celeryusher.kernel.routing.EndpointStatistics.Companion.freshness
import org.celeryusher.kernel.time.Moment
import kotlin.math.roundToLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The expected time of a call to an endpoint. */
public data class EndpointCost(
    /** The estimated number of calls that the endpoint has, queued or running. */
    public val load: Double,
    /** The time in excess of [service], spent waiting for a slot or because the server is slow. */
    public val queueing: Duration,
    /** The usual service time, without the network round trip. */
    public val service: Duration,
    /** The network round trip. */
    public val roundTrip: Duration,
    /** The cost of transferring the call and its answer between data centres, as waiting time. */
    public val transferCost: Duration = Duration.ZERO,
) {
    /** The total expected time, including the transfer cost. */
    public val total: Duration get() = queueing + service + roundTrip + transferCost

    /** Returns the total expected time, with a service time shorter than [serviceFloor] counted as [serviceFloor]. */
    public fun totalWithServiceFloor(serviceFloor: Duration): Duration = queueing + maxOf(service, serviceFloor) + roundTrip + transferCost

    override fun toString(): String = "$total (load ${(load * 10).roundToLong() / 10.0}, queueing $queueing, way $roundTrip)"

    internal companion object {
        private val DEFAULT_SERVICE_TIME = 10.milliseconds

        /** A latency beyond this multiple of the usual service time contradicts a report of low load. */
        private const val CONTRADICTION_FACTOR = 2.0

        /** How long a reported slowdown applies: about half of the time between two changes. */
        private val SLOWDOWN_FRESHNESS = 300.milliseconds

        /** The load, per slot, that is assumed for a server that reports that it is not ready, or whose guard does not accept the rank. */
        private const val UNREADY_LOAD_PER_SLOT = 3.0

        internal fun of(
            statistics: EndpointStatistics,
            context: CostContext,
            roundTrip: Duration,
            now: Moment,
            transferCost: Duration = Duration.ZERO,
        ): EndpointCost {
            val service = serviceTimeOf(statistics, context)
            val guardLoadWeight = guardLoadFreshness(statistics, now)
            val reported = credibleReportedLoad(statistics, context.slots, service + roundTrip, now) * (1 - guardLoadWeight)
            val waiting =
                waitFromGuardLoad(statistics, context, service) * guardLoadWeight +
                    waitFromLocalCounts(statistics, context, service, reported) * (1 - guardLoadWeight)
            val load = statistics.outstanding + callsOfOtherProxies(statistics) * guardLoadWeight + reported
            val excess = maxOf(excessLatency(statistics, service, roundTrip, now), linkWait(statistics, context, service) * guardLoadWeight)
            return EndpointCost(load, maxOf(waiting, excess), service, roundTrip, transferCost)
        }

        /** Returns the expected service time of the rank on this server. */
        internal fun serviceTimeOf(
            statistics: EndpointStatistics,
            context: CostContext,
        ): Duration = guardServiceTime(statistics, context) ?: context.medianServiceTime ?: DEFAULT_SERVICE_TIME

        /** Returns the service time of the rank on this server, as measured by its guard: servers of one service differ in speed. */
        private fun guardServiceTime(
            statistics: EndpointStatistics,
            context: CostContext,
        ): Duration? =
            statistics.guardLoad
                ?.ranks
                ?.getOrNull(context.rankPosition)
                ?.serviceMilliseconds
                ?.takeIf { it > 0 }
                ?.let { it.milliseconds / outdatedSlowdown(statistics, context.now) }

        /** Returns the slowdown that the service time of the guard includes although it is too old to still apply, or 1. */
        private fun outdatedSlowdown(
            statistics: EndpointStatistics,
            now: Moment,
        ): Double = statistics.guardLoad?.slowdown?.takeIf { now - statistics.guardLoadAt > SLOWDOWN_FRESHNESS } ?: 1.0

        private fun guardLoadFreshness(
            statistics: EndpointStatistics,
            now: Moment,
        ): Double = if (statistics.guardLoad == null) 0.0 else freshness(now - statistics.guardLoadAt, GUARD_LOAD_TIME_CONSTANT)

        private fun callsOfOtherProxies(statistics: EndpointStatistics): Int {
            val counted = statistics.guardLoad?.let { it.running + it.queued } ?: 0
            return (counted - statistics.outstandingAtGuardLoad).coerceAtLeast(0)
        }

        /** Returns the wait that the guard reported for the rank, plus the wait for calls sent since. */
        private fun waitFromGuardLoad(
            statistics: EndpointStatistics,
            context: CostContext,
            service: Duration,
        ): Duration {
            val guardLoad = statistics.guardLoad ?: return Duration.ZERO
            if (!guardLoad.accepts(context.rankPosition)) return service * UNREADY_LOAD_PER_SLOT
            val sentSince = (statistics.outstanding - statistics.outstandingAtGuardLoad).coerceAtLeast(0)
            val limit = guardLoad.limit.coerceAtLeast(1)
            if (guardLoad.queued == 0 && guardLoad.running + sentSince < guardLoad.limit) return Duration.ZERO
            val estimatedWait = guardLoad.ranks.getOrElse(context.rankPosition) { guardLoad.ranks.last() }.estimatedWaitMilliseconds
            val perCall = guardLoad.callsPerSecond?.let { maxOf(service / limit, 1.seconds / it) } ?: (service / limit)
            return estimatedWait.milliseconds + perCall * sentSince
        }

        /** Returns how much longer than [service] a large answer waits for the link of the instance. The link sends others while the call runs. */
        private fun linkWait(
            statistics: EndpointStatistics,
            context: CostContext,
            service: Duration,
        ): Duration {
            val wait = statistics.guardLoad?.linkWaitMilliseconds ?: 0
            if (!context.hasLargeAnswers || wait <= 0) return Duration.ZERO
            return (wait.milliseconds - service).coerceAtLeast(Duration.ZERO)
        }

        private fun waitFromLocalCounts(
            statistics: EndpointStatistics,
            context: CostContext,
            service: Duration,
            reported: Double,
        ): Duration {
            val slots = context.slots.coerceAtLeast(1)
            return service * ((statistics.outstanding + reported + 1 - slots).coerceAtLeast(0.0) / slots)
        }

        /**
         * Returns the excess of the observed latency over [service], whatever load was reported, or zero for a latency of at most
         * [CONTRADICTION_FACTOR] times [service]. The excess decays with age, so that the endpoint is tried again.
         */
        private fun excessLatency(
            statistics: EndpointStatistics,
            service: Duration,
            roundTrip: Duration,
            now: Moment,
        ): Duration {
            val serverLatency = (statistics.latency ?: return Duration.ZERO) - roundTrip
            if (serverLatency <= service * CONTRADICTION_FACTOR) return Duration.ZERO
            return (serverLatency - service) * freshness(now - statistics.latencyAt, LATENCY_TIME_CONSTANT)
        }

        /** Returns the reported load, or 0 if a later answer contradicts the report. Decays with the age of the report. */
        private fun credibleReportedLoad(
            statistics: EndpointStatistics,
            slots: Int,
            expectedLatency: Duration,
            now: Moment,
        ): Double {
            val report = statistics.reported ?: return 0.0
            val claimed = if (report.ready) (report.running + report.queued).toDouble() else slots * UNREADY_LOAD_PER_SLOT
            val answeredSince = statistics.latency.takeIf { statistics.latencyAt > report.measuredAt }
            val claimsQueue = claimed > slots
            val isContradicted = claimsQueue && answeredSince != null && answeredSince <= expectedLatency
            return if (isContradicted) 0.0 else claimed * freshness(now - report.measuredAt, REPORT_TIME_CONSTANT)
        }
    }
}

/** The values that are common to the [EndpointCost] of all endpoints of a route. */
internal class CostContext(
    val slots: Int,
    val rankPosition: Int,
    /** The median latency of the endpoints without the network round trip, or null before the first answer. */
    val medianServiceTime: Duration?,
    /** The present time, by which the age of what guards reported is judged. */
    val now: Moment = Moment.DISTANT_PAST,
    /** Whether answers on the route wait for slow links. */
    val hasLargeAnswers: Boolean = false,
)
