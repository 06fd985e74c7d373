package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.DurationUnit

/**
 * The latencies of the last one to two [block]s as a histogram, so that the memory does not grow with the number of calls.
 *
 * A bucket is [GROWTH] times as wide as the one before it, so a quantile is at most 10% too high. Not thread-safe.
 */
internal class RecentLatency(
    private val block: Duration,
) {
    private var current = IntArray(BUCKETS)
    private var previous = IntArray(BUCKETS)
    private var blockEndsAt = Moment.DISTANT_PAST

    /** Records a call that took [latency]. */
    fun record(
        latency: Duration,
        now: Moment,
    ) {
        advance(now)
        current[bucketOf(latency)]++
    }

    /** Returns the number of latencies in the window that ends at [now]. */
    fun count(now: Moment): Int {
        advance(now)
        return current.sum() + previous.sum()
    }

    /** Returns the latency that [share] of the calls in the window did not exceed, or null if the window is empty. */
    fun quantile(
        share: Double,
        now: Moment,
    ): Duration? {
        val total = count(now)
        if (total == 0) return null
        var remaining = ceil(total * share).toInt().coerceAtLeast(1)
        for (bucket in 0 until BUCKETS) {
            remaining -= current[bucket] + previous[bucket]
            if (remaining <= 0) return upperBoundOf(bucket)
        }
        return upperBoundOf(BUCKETS - 1)
    }

    private fun advance(now: Moment) {
        if (now < blockEndsAt) return
        val isNextBlock = now < blockEndsAt + block
        val discarded = previous
        previous = if (isNextBlock) current else discarded.apply { fill(0) }
        current = if (isNextBlock) discarded.apply { fill(0) } else current.apply { fill(0) }
        blockEndsAt = now + block
    }

    private fun bucketOf(latency: Duration): Int {
        val ratio = latency.toDouble(DurationUnit.MICROSECONDS) / SMALLEST.toDouble(DurationUnit.MICROSECONDS)
        return if (ratio <= 1.0) 0 else (ln(ratio) / ln(GROWTH)).toInt().coerceAtMost(BUCKETS - 1)
    }

    private fun upperBoundOf(bucket: Int): Duration = SMALLEST * GROWTH.pow(bucket + 1)

    private companion object {
        val SMALLEST = 100.microseconds
        const val GROWTH = 1.1

        /** The last bucket ends at about 62 s; longer latencies are counted in it. */
        const val BUCKETS = 140
    }
}
