package org.celeryusher.kernel.routing

import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.time.Moment
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The observations of one node about one endpoint: its own calls, the load of the guard (the admission control in front of the backend
 * server), and other load reports. Immutable; [EndpointLoadTracker] holds the current value.
 */
public data class EndpointStatistics(
    /** The number of calls that this node has sent and that have not ended. */
    public val outstanding: Int = 0,
    public val guardLoad: GuardLoad? = null,
    public val guardLoadAt: Moment = Moment.DISTANT_PAST,
    /** The value of [outstanding] when [guardLoad] arrived; [guardLoad] includes these calls. */
    public val outstandingAtGuardLoad: Int = 0,
    public val reported: ReportedLoad? = null,
    /** The moving average of the latency of answered calls. */
    public val latency: Duration? = null,
    public val latencyAt: Moment = Moment.DISTANT_PAST,
    public val consecutiveFailures: Int = 0,
    public val ejections: Int = 0,
    public val ejectedUntil: Moment = Moment.DISTANT_PAST,
    /** When the endpoint started to serve, or its last ejection ends; the start of its slow start. */
    public val servingSince: Moment = Moment.DISTANT_PAST,
    /** Whether the backend server has stated that it is leaving. Only another process of it can be in use again. */
    public val isLeaving: Boolean = false,
) {
    /** The limit on calls a second that may start on the backend server, as far as its guard last reported. */
    public val callsPerSecond: Double? get() = guardLoad?.callsPerSecond

    /** The part of [callsPerSecond] that the backend server itself has stated, which calls carry to its guard. */
    public val statedCallsPerSecond: Double? get() = guardLoad?.statedCallsPerSecond

    /** Returns whether the endpoint is ejected as an outlier at [now]. */
    public fun isEjected(now: Moment): Boolean = now < ejectedUntil

    /** Returns the share of its full traffic that the endpoint receives at [now], which rises linearly over [slowStart]. */
    public fun slowStartShare(
        slowStart: Duration,
        now: Moment,
    ): Double {
        val age = now - servingSince
        if (age >= slowStart || !slowStart.isPositive()) return 1.0
        return (age / slowStart).coerceIn(MINIMUM_SLOW_START_SHARE, 1.0)
    }

    /**
     * Returns the share of the calls of a server with [slots] and [serviceTime] that the stated limit allows, 1 without a limit.
     *
     * Proxies divide their calls by it, so that together they send a limited server about what it takes, although none of them knows what
     * the others send.
     */
    public fun rateShare(
        slots: Int,
        serviceTime: Duration,
    ): Double = callsPerSecond?.let { (it * (serviceTime / 1.seconds) / slots).coerceIn(MINIMUM_RATE_SHARE, 1.0) } ?: 1.0

    internal fun withSentCall(): EndpointStatistics = copy(outstanding = outstanding + 1)

    internal fun withResult(
        result: CallResult,
        guardLoad: GuardLoad?,
        now: Moment,
    ): EndpointStatistics {
        val left = (outstanding - 1).coerceAtLeast(0)
        val counted = copy(outstanding = left).withGuardLoad(guardLoad, now)
        return when (result) {
            is CallResult.Served -> counted.copy(latency = movingAverage(result.latency), latencyAt = now, consecutiveFailures = 0)
            is CallResult.Refused -> counted.copy(consecutiveFailures = 0)
            is CallResult.Failed -> counted.failed(now)
            is CallResult.Abandoned -> counted
        }
    }

    internal fun withGuardLoad(
        load: GuardLoad?,
        now: Moment,
    ): EndpointStatistics = if (load == null) this else copy(guardLoad = load, guardLoadAt = now, outstandingAtGuardLoad = outstanding)

    private fun movingAverage(sample: Duration): Duration = latency?.let { it * (1 - LATENCY_WEIGHT) + sample * LATENCY_WEIGHT } ?: sample

    private fun failed(now: Moment): EndpointStatistics {
        val failures = consecutiveFailures + 1
        if (failures < FAILURES_TO_EJECT || isEjected(now)) return copy(consecutiveFailures = failures)
        val recovered = now - ejectedUntil > EJECTION_COUNT_RESET_AFTER
        val count = if (recovered) 1 else ejections + 1
        val until = now + minOf(FIRST_EJECTION * (1 shl minOf(count - 1, MAXIMUM_DOUBLINGS)), MAXIMUM_EJECTION)
        return copy(consecutiveFailures = 0, ejections = count, ejectedUntil = until, servingSince = until)
    }

    internal companion object {
        private const val FAILURES_TO_EJECT = 3
        private const val MAXIMUM_DOUBLINGS = 10
        private const val LATENCY_WEIGHT = 0.2
        private const val MINIMUM_SLOW_START_SHARE = 0.1

        /** A server without any call could not report that its limit has risen. */
        private const val MINIMUM_RATE_SHARE = 0.05
        private val FIRST_EJECTION = 1.seconds
        private val MAXIMUM_EJECTION = 30.seconds
        private val EJECTION_COUNT_RESET_AFTER = 60.seconds
        internal val LATENCY_TIME_CONSTANT: Duration = 2.seconds
        internal val GUARD_LOAD_TIME_CONSTANT: Duration = 500.milliseconds
        internal val REPORT_TIME_CONSTANT: Duration = 2.seconds

        internal fun freshness(
            age: Duration,
            timeConstant: Duration,
        ): Double = exp(-(age.coerceAtLeast(Duration.ZERO) / timeConstant))
    }
}

/** The result of a call to an endpoint, as far as the choice of endpoints depends on it. */
public sealed interface CallResult {
    /** The backend server answered with a status below 500. */
    public data class Served(
        public val latency: Duration,
    ) : CallResult

    /** The guard or the backend server refused the call because of load, drain or policy. Does not count as a failure. */
    public data object Refused : CallResult

    /** The connection broke, the call timed out, or the answer was truncated or had a status of 500 or above. Counts toward ejection. */
    public data object Failed : CallResult

    /** The caller cancelled the call. Counts neither as a success nor as a failure. */
    public data object Abandoned : CallResult
}
