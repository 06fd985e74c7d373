package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The measured service time of one rank: a short-term mean with its deviation, and a long-term mean as the baseline.
 *
 * The mean and the deviation are smoothed as TCP smooths its round-trip time (RFC 6298). Without new samples the estimates decay, so that
 * a rank that cannot start calls because of an outdated estimate is measured again. The samples are service times at the usual speed of the
 * server; the estimates are for its present speed, by [pace].
 */
internal class ServiceTimeEstimate(
    private val pace: ServerPace = ServerPace(),
) {
    private var samples = 0
    private var mean = 0.0
    private var deviation = 0.0
    private var baseline = 0.0
    private var lastSampleAt = Moment.DISTANT_PAST

    /** Returns the expected service time in nanoseconds, 0 without samples. */
    fun expected(now: Moment): Double = if (samples == 0) 0.0 else mean * scale(now)

    /** Returns the service time, in nanoseconds, that most calls take at least; 0 without samples. */
    fun lowerEstimate(now: Moment): Double = if (samples == 0) 0.0 else (mean - deviation).coerceAtLeast(0.0) * scale(now)

    /** Returns the service time, in nanoseconds, that most calls do not exceed; 0 without samples. */
    fun upperEstimate(now: Moment): Double = if (samples == 0) 0.0 else (mean + deviation) * scale(now)

    /** Records a measured [serviceTime] and returns its ratio to the long-term mean, or 1 while there are too few samples for that mean. */
    fun record(
        serviceTime: Duration,
        now: Moment,
    ): Double {
        val sample = serviceTime.inWholeNanoseconds.toDouble()
        val weight = maxOf(SHORT_TERM_WEIGHT, 1.0 / (samples + 1))
        val error = sample - mean
        deviation += weight * (abs(error) - deviation)
        mean += weight * error
        if (samples == 0) deviation = 0.0
        val ratio = if (samples < LEARNING_SAMPLES || baseline == 0.0) 1.0 else sample / baseline
        updateBaseline(sample, now)
        samples += 1
        lastSampleAt = now
        return ratio
    }

    private fun updateBaseline(
        sample: Double,
        now: Moment,
    ) {
        val weight =
            if (samples < LEARNING_SAMPLES) {
                1.0 / (samples + 1)
            } else {
                ((now - lastSampleAt) / baselineTimeConstant).coerceAtMost(SHORT_TERM_WEIGHT)
            }
        baseline += weight * (sample - baseline)
        if (mean * FAST_RECOVERY_RATIO < baseline) baseline *= FAST_RECOVERY_FACTOR
    }

    private fun scale(now: Moment): Double = freshness(now) * pace.factor(now)

    private fun freshness(now: Moment): Double {
        val age = now - lastSampleAt
        return if (age <= freshnessPeriod) 1.0 else 1.0 / (1.0 + (age - freshnessPeriod) / freshnessPeriod)
    }

    private companion object {
        const val SHORT_TERM_WEIGHT = 0.1
        const val LEARNING_SAMPLES = 50
        const val FAST_RECOVERY_RATIO = 2.0
        const val FAST_RECOVERY_FACTOR = 0.95
        val baselineTimeConstant = 1.minutes
        val freshnessPeriod = 1.seconds
    }
}

/** Returns a duration of this many nanoseconds, infinite if this number is not finite. */
internal fun Double.toDurationNanoseconds(): Duration = if (isFinite()) toLong().nanoseconds else Duration.INFINITE
