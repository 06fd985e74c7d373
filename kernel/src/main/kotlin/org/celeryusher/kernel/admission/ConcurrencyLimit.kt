package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The adaptive limit on the number of calls that run concurrently on a backend server.
 *
 * The limit starts at the declared slots and follows the gradient of service time against its long-term mean, as Gradient2 of
 * Netflix's concurrency-limits library does. When the server sheds a call, the limit decreases multiplicatively, as in AIMD (Chiu and
 * Jain, 1989). If the server itself reports its slots, the limit is not adapted. It never exceeds the slots or the connections of
 * the policy, and never falls below 1. After a start of the server, it rises linearly from 1 over the slow-start time.
 */
internal class ConcurrencyLimit(
    private var policy: AdmissionPolicy,
    private val room: ServerRoom = ServerRoom(ServerPace()),
) {
    private var adaptiveLimit = ceiling.toDouble()
    private var serverStartedAt = Moment.DISTANT_PAST
    private var windowStartedAt = Moment.DISTANT_PAST
    private var lastShedAt = Moment.DISTANT_PAST
    private var ratioSum = 0.0
    private var samples = 0

    private val ceiling: Int get() = minOf(policy.slots, policy.connections)

    /** Returns the limit at [now], at least 1. */
    fun at(now: Moment): Int = minOf(declared(now), room.limit(ceiling, now))

    /** Returns the limit at [now] without what the answers of the server show, at least 1. */
    fun declared(now: Moment): Int = minOf(adaptiveLimit, slowStartLimit(now)).toInt().coerceAtLeast(1)

    /** Returns when the limit rises next after refusals, or null if it does not. */
    fun nextRise(now: Moment): Moment? = room.nextRise(ceiling, now)

    /** Returns when the slow start ends. */
    fun slowStartEndsAt(): Moment = serverStartedAt + policy.slowStart

    fun changePolicy(changed: AdmissionPolicy) {
        val wasAtCeiling = adaptiveLimit >= ceiling
        policy = changed
        adaptiveLimit = if (wasAtCeiling) ceiling.toDouble() else adaptiveLimit.coerceAtMost(ceiling.toDouble())
    }

    fun serverStarted(now: Moment) {
        serverStartedAt = now
        adaptiveLimit = ceiling.toDouble()
    }

    /**
     * Records that a call of the rank with [estimate] ended with [outcome] after [serviceTime], which may have been cut short by a failure.
     * [atUsualSpeed] is the time that it takes while the server works at its usual speed.
     */
    fun record(
        estimate: ServiceTimeEstimate,
        serviceTime: Duration,
        atUsualSpeed: Duration,
        outcome: ServiceOutcome,
        now: Moment,
    ) {
        when (outcome) {
            ServiceOutcome.OK -> recordRatio(estimate.record(atUsualSpeed, now), now)
            ServiceOutcome.FAILED ->
                if (serviceTime.inWholeNanoseconds > estimate.expected(now)) recordRatio(estimate.record(atUsualSpeed, now), now)
            ServiceOutcome.SHED -> recordShed(now)
        }
    }

    /** Records that the service time of a call was [ratio] times the long-term mean of its rank. */
    fun recordRatio(
        ratio: Double,
        now: Moment,
    ) {
        if (policy.slotsAreExact || now < slowStartEndsAt()) return
        ratioSum += ratio
        samples += 1
        if (samples < WINDOW_SAMPLES || now - windowStartedAt < windowLength) return
        val gradient = (LATENCY_TOLERANCE * samples / ratioSum).coerceIn(MINIMUM_GRADIENT, 1.0)
        val target = adaptiveLimit * gradient + HEADROOM_CALLS
        adaptiveLimit = (adaptiveLimit + SMOOTHING * (target - adaptiveLimit)).coerceIn(1.0, ceiling.toDouble())
        ratioSum = 0.0
        samples = 0
        windowStartedAt = now
    }

    /** Records that the backend server shed a call. Several shed calls within one window count as one. */
    fun recordShed(now: Moment) {
        room.refused(at(now), now)
        if (policy.slotsAreExact || now - lastShedAt < windowLength) return
        lastShedAt = now
        adaptiveLimit = (adaptiveLimit * SHED_FACTOR).coerceAtLeast(1.0)
    }

    private fun slowStartLimit(now: Moment): Double {
        if (now >= slowStartEndsAt()) return ceiling.toDouble()
        return 1.0 + (ceiling - 1) * ((now - serverStartedAt) / policy.slowStart)
    }

    private companion object {
        const val WINDOW_SAMPLES = 20
        const val LATENCY_TOLERANCE = 2.0
        const val MINIMUM_GRADIENT = 0.5
        const val HEADROOM_CALLS = 1.0
        const val SMOOTHING = 0.5
        const val SHED_FACTOR = 0.8
        val windowLength = 100.milliseconds
    }
}
