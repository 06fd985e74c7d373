package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds the repeats of a service: in any [window], [share] of the requests that callers send to it, and [reserve] more. */
public data class RetryBounds(
    public val share: Double,
    public val reserve: Int,
    public val window: Duration,
) {
    public companion object {
        /** Allows no repeats. */
        public val NONE: RetryBounds = RetryBounds(share = 0.0, reserve = 0, window = 10.seconds)
    }
}

/**
 * The part of one guard in the [RetryBounds] of its service.
 *
 * A repeat is charged where it arrives, so that all nodes together keep the bounds without a message about it: the guards of a service divide
 * the reserve, and each adds the share of the requests that reach it. A larger part of the reserve counts only after one window, in which the
 * guards that had it before may still spend it; so does the whole part of a guard that has just started, unless
 * [isFullAtStart].
 *
 * A charge counts for somewhat longer than the window, since what it pays for arrives later. Not thread-safe.
 */
public class RetryBudget(
    startedAt: Moment,
    private val isFullAtStart: Boolean = false,
) {
    private class Part(
        val since: Moment,
        val repeats: Int,
    )

    private var bounds = RetryBounds.NONE
    private val parts = ArrayDeque<Part>().apply { add(Part(startedAt, 0)) }
    private val charges = ArrayDeque<RetryCharge>()
    private val requests = RequestCounter()

    /** Replaces the bounds. Of their reserve, [part] repeats in a window belong to this guard. */
    public fun change(
        bounds: RetryBounds,
        part: Int,
        now: Moment,
    ) {
        this.bounds = bounds
        if (isFullAtStart && parts.all { it.repeats == 0 }) parts.clear()
        if (part != parts.lastOrNull()?.repeats) parts += Part(now, part)
        while (parts.size > 1 && parts[1].since <= now - bounds.window) parts.removeFirst()
    }

    /** Records the arrival of a request that a caller has sent. */
    public fun recordRequest(now: Moment): Unit = requests.record(now, bounds.window)

    /** Charges [amount] repeats and returns the charge, or returns null if fewer are left. */
    public fun charge(
        amount: Double,
        now: Moment,
    ): RetryCharge? {
        if (available(now) < amount) return null
        return RetryCharge(amount, now).also { charges += it }
    }

    /** Takes [charge] back, because nothing was repeated. */
    public fun refund(charge: RetryCharge) {
        charges.remove(charge)
    }

    /** Returns how many repeats may be charged at [now]. */
    public fun available(now: Moment): Double {
        while (charges.isNotEmpty() && charges.first().at <= now - bounds.window * CHARGE_RETENTION) charges.removeFirst()
        val allowed = bounds.share * requests.count(now, bounds.window) + smallestPart(now)
        return allowed - charges.sumOf { it.amount }
    }

    private fun smallestPart(now: Moment): Int {
        val windowStart = now - bounds.window
        return parts.filterIndexed { index, _ -> index == parts.lastIndex || parts[index + 1].since > windowStart }.minOf { it.repeats }
    }

    public companion object {
        /** The time for which a charge counts, in windows; what is queued or runs for long arrives that much later. */
        private const val CHARGE_RETENTION = 1.1

        /** Returns the part of [reserve] of the guard at [position] among [guards]. The parts of all of them add up to the reserve. */
        public fun partOf(
            reserve: Int,
            position: Int,
            guards: Int,
        ): Int = (reserve.toLong() * (position + 1) / guards - reserve.toLong() * position / guards).toInt()
    }
}

/** An amount of repeats that was charged to a [RetryBudget]. */
public class RetryCharge internal constructor(
    internal val amount: Double,
    internal val at: Moment,
)

/** Counts requests in a sliding window of [BUCKETS] buckets. A bucket that is only partly inside the window is left out. */
private class RequestCounter {
    private class Bucket(
        val since: Moment,
        var requests: Int,
    )

    private val buckets = ArrayDeque<Bucket>()

    fun record(
        now: Moment,
        window: Duration,
    ) {
        val last = buckets.lastOrNull()
        if (last != null && now - last.since < window / BUCKETS) last.requests++ else buckets += Bucket(now, requests = 1)
        discardBefore(now - window)
    }

    fun count(
        now: Moment,
        window: Duration,
    ): Int {
        discardBefore(now - window)
        return buckets.sumOf { it.requests }
    }

    private fun discardBefore(start: Moment) {
        while (buckets.isNotEmpty() && buckets.first().since < start) buckets.removeFirst()
    }

    private companion object {
        const val BUCKETS = 20
    }
}
