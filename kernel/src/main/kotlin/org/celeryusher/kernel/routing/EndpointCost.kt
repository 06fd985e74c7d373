package org.celeryusher.kernel.routing

import org.celeryusher.kernel.routing.EndpointStatistics.Companion.GUARD_LOAD_TIME_CONSTANT
import org.celeryusher.kernel.routing.EndpointStatistics.Companion.LATENCY_TIME_CONSTANT
import org.celeryusher.kernel.routing.EndpointStatistics.Companion.REPORT_TIME_CONSTANT
import org.celeryusher.kernel.routing.EndpointStatistics.Companion.freshness
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a call to an endpoint is expected to take. */
public data class EndpointCost(
    /** The calls that the endpoint is believed to have. */
    public val load: Double,
    /** The time above the usual, spent waiting for a slot or on a slow server. */
    public val queueing: Duration,
    /** The usual time of a call of the service, without the way. */
    public val service: Duration,
    /** The way there and back. */
    public val way: Duration,
) {
    /** The whole expected time. */
    public val total: Duration get() = queueing + service + way

    override fun toString(): String = "$total (load ${"%.1f".format(load)}, queueing $queueing, way $way)"

    internal companion object {
        private val DEFAULT_SERVICE_TIME = 10.milliseconds

        /** Latency beyond this multiple of the usual contradicts a claim to be idle. */
        private const val CONTRADICTION_FACTOR = 2.0

        /** A server that says it is not ready counts as this many times its slots. */
        private const val UNREADY_LOAD_PER_SLOT = 3.0

        internal fun of(
            statistics: EndpointStatistics,
            slots: Int,
            usualLatency: Duration?,
            way: Duration,
            now: Moment,
        ): EndpointCost {
            val service = usualLatency ?: DEFAULT_SERVICE_TIME
            val usableSlots = minOf(slots, statistics.guardLoad?.slots ?: slots).coerceAtLeast(1)
            val load = believedLoad(statistics, usableSlots, service + way, now)
            val modelled = service * ((load + 1 - usableSlots).coerceAtLeast(0.0) / usableSlots)
            return EndpointCost(load, maxOf(modelled, observedExcess(statistics, service, way, now)), service, way)
        }

        /** The time by which answers came late, whatever load was claimed; fades with its age so that the endpoint is tried again. */
        private fun observedExcess(
            statistics: EndpointStatistics,
            service: Duration,
            way: Duration,
            now: Moment,
        ): Duration {
            val atServer = (statistics.latency ?: return Duration.ZERO) - way
            if (atServer <= service * CONTRADICTION_FACTOR) return Duration.ZERO
            return (atServer - service) * freshness(now - statistics.latencyAt, LATENCY_TIME_CONSTANT)
        }

        /** Own calls, plus those of others by the guard's last exact count; as that ages, the report takes its place. */
        private fun believedLoad(
            statistics: EndpointStatistics,
            slots: Int,
            usualLatency: Duration,
            now: Moment,
        ): Double {
            val countFreshness = statistics.guardLoad?.let { freshness(now - statistics.guardLoadAt, GUARD_LOAD_TIME_CONSTANT) } ?: 0.0
            val counted = statistics.guardLoad?.let { it.inSystem - statistics.outstandingAtGuardLoad } ?: 0
            val others = counted.coerceAtLeast(0) * countFreshness
            val reported = believedReport(statistics, slots, usualLatency, now) * (1 - countFreshness)
            return statistics.outstanding + others + reported
        }

        private fun believedReport(
            statistics: EndpointStatistics,
            slots: Int,
            usualLatency: Duration,
            now: Moment,
        ): Double {
            val report = statistics.reported ?: return 0.0
            val claimed = if (report.ready) (report.running + report.queued).toDouble() else slots * UNREADY_LOAD_PER_SLOT
            val answeredSince = statistics.latency.takeIf { statistics.latencyAt > report.measuredAt }
            val claimsQueue = claimed > slots
            val isContradicted = claimsQueue && answeredSince != null && answeredSince <= usualLatency
            return if (isContradicted) 0.0 else claimed * freshness(now - report.measuredAt, REPORT_TIME_CONSTANT)
        }
    }
}
