package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * How many calls may run at a time on the backend server.
 *
 * Starts from the declared slots and follows the gradient of service time against its long-term mean, the method of Gradient2 in
 * Netflix's concurrency-limits library; a call that the server sheds decreases the limit multiplicatively, as in AIMD (Chiu and Jain,
 * 1989). Slots that the server states itself are the limit. It never exceeds the declared slots or the connections and never falls below 1. After a start of the server the
 * limit rises linearly from 1 within the slow-start time.
 */
internal class ConcurrencyLimit(
    private var policy: AdmissionPolicy,
) {
    private var adaptive = ceiling.toDouble()
    private var serverStartedAt = Moment.DISTANT_PAST
    private var windowStartedAt = Moment.DISTANT_PAST
    private var lastShedAt = Moment.DISTANT_PAST
    private var ratios = 0.0
    private var samples = 0

    private val ceiling: Int get() = minOf(policy.slots, policy.connections)

    /** Returns the limit in force, at least 1. */
    fun at(now: Moment): Int = minOf(adaptive, ramp(now)).toInt().coerceAtLeast(1)

    /** Returns when the ramp of the slow start will be over. */
    fun rampEndsAt(): Moment = serverStartedAt + policy.slowStart

    fun changePolicy(changed: AdmissionPolicy) {
        val wasAtCeiling = adaptive >= ceiling
        policy = changed
        adaptive = if (wasAtCeiling) ceiling.toDouble() else adaptive.coerceAtMost(ceiling.toDouble())
    }

    fun serverStarted(now: Moment) {
        serverStartedAt = now
        adaptive = ceiling.toDouble()
    }

    /** Takes in that a call took [ratio] times its rank's long-term service time. */
    fun recordRatio(
        ratio: Double,
        now: Moment,
    ) {
        if (policy.slotsAreExact || now < rampEndsAt()) return
        ratios += ratio
        samples += 1
        if (samples < WINDOW_SAMPLES || now - windowStartedAt < windowTime) return
        val gradient = (LATENCY_TOLERANCE * samples / ratios).coerceIn(LOWEST_GRADIENT, 1.0)
        val target = adaptive * gradient + HEADROOM_CALLS
        adaptive = (adaptive + SMOOTHING * (target - adaptive)).coerceIn(1.0, ceiling.toDouble())
        ratios = 0.0
        samples = 0
        windowStartedAt = now
    }

    /** Takes in that the backend server shed a call; several within one window count once. */
    fun recordShed(now: Moment) {
        if (policy.slotsAreExact || now - lastShedAt < windowTime) return
        lastShedAt = now
        adaptive = (adaptive * SHED_FACTOR).coerceAtLeast(1.0)
    }

    private fun ramp(now: Moment): Double {
        if (now >= rampEndsAt()) return ceiling.toDouble()
        return 1.0 + (ceiling - 1) * ((now - serverStartedAt) / policy.slowStart)
    }

    private companion object {
        const val WINDOW_SAMPLES = 20
        const val LATENCY_TOLERANCE = 2.0
        const val LOWEST_GRADIENT = 0.5
        const val HEADROOM_CALLS = 1.0
        const val SMOOTHING = 0.5
        const val SHED_FACTOR = 0.8
        val windowTime = 100.milliseconds
    }
}
