package org.celeryusher.kernel.routing

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** Counts calls in a sliding window of [bucketCount] buckets, each [bucketLength] long. A new bucket replaces the oldest one. */
internal class SlidingWindowCounters(
    private val bucketLength: Duration,
    private val bucketCount: Int,
) {
    private class Bucket {
        var requests = 0
        var sent = 0
        var accepts = 0
        var refusals = 0
    }

    private val buckets = ArrayDeque<Bucket>().apply { add(Bucket()) }
    private var bucketEndsAt: Moment? = null

    val requests: Int get() = buckets.sumOf { it.requests }
    val sentCalls: Int get() = buckets.sumOf { it.sent }
    val accepts: Int get() = buckets.sumOf { it.accepts }
    val refusals: Int get() = buckets.sumOf { it.refusals }
    val sentInCurrentBucket: Int get() = buckets.last().sent

    /** Discards the buckets before the window that ends at [now]. */
    fun advance(now: Moment) {
        val end = bucketEndsAt ?: (now + bucketLength)
        if (now < end) {
            bucketEndsAt = end
            return
        }
        val passed = (now - end) / bucketLength
        repeat(minOf(passed.toInt() + 1, bucketCount)) { buckets.addLast(Bucket()) }
        while (buckets.size > bucketCount) buckets.removeFirst()
        bucketEndsAt = end + bucketLength * (passed.toInt() + 1)
    }

    fun recordRequest() {
        buckets.last().requests++
    }

    fun recordSent() {
        buckets.last().sent++
    }

    fun recordAnswer(isAccepted: Boolean) {
        recordRequest()
        if (isAccepted) buckets.last().accepts++ else buckets.last().refusals++
    }
}
