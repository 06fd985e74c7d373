package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/**
 * Counts first attempts and hedged copies in a sliding [window] of [BUCKETS] buckets.
 *
 * A bucket that is only partly inside the window counts for copies but not for first attempts, so that the share is never exceeded. Not
 * thread-safe.
 */
internal class HedgeShareWindow(
    private val window: Duration,
) {
    private class Bucket(
        val since: Moment,
        var firstAttempts: Int = 0,
        var copies: Int = 0,
    )

    private val buckets = ArrayDeque<Bucket>()
    private val bucketLength = window / BUCKETS

    fun recordFirstAttempt(now: Moment) {
        bucketAt(now).firstAttempts++
    }

    fun recordCopy(now: Moment) {
        bucketAt(now).copies++
    }

    fun firstAttempts(now: Moment): Int {
        discardBefore(now - window - bucketLength)
        return buckets.sumOf { if (it.since >= now - window) it.firstAttempts else 0 }
    }

    fun copies(now: Moment): Int {
        discardBefore(now - window - bucketLength)
        return buckets.sumOf { it.copies }
    }

    /** Returns whether one more copy keeps the copies within [share] of the first attempts. */
    fun allowsCopy(
        share: Double,
        now: Moment,
    ): Boolean = copies(now) + 1 <= share * firstAttempts(now)

    private fun bucketAt(now: Moment): Bucket {
        discardBefore(now - window - bucketLength)
        val last = buckets.lastOrNull()
        return if (last != null && now - last.since < bucketLength) last else Bucket(now).also { buckets += it }
    }

    private fun discardBefore(start: Moment) {
        while (buckets.isNotEmpty() && buckets.first().since < start) buckets.removeFirst()
    }

    private companion object {
        const val BUCKETS = 12
    }
}
