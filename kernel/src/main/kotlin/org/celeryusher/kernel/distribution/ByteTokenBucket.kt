package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A token bucket of bytes whose level may go negative by one transfer, so that a transfer larger than the burst can still be sent. */
internal class ByteTokenBucket(
    private val bytesPerSecond: Int,
    private val burstBytes: Int,
) {
    private var level = burstBytes.toDouble()
    private var filledAt: Moment? = null

    /** Deducts [bytes] even when the level is lower. */
    fun spend(
        bytes: Int,
        now: Moment,
    ) {
        fill(now)
        level -= bytes
    }

    /** Returns the time until the level is positive again, or zero when it is positive at [now]. */
    fun timeUntilAvailable(now: Moment): Duration {
        fill(now)
        return if (level > 0) Duration.ZERO else ((1 - level) / bytesPerSecond).seconds
    }

    private fun fill(now: Moment) {
        val elapsed = filledAt?.let { now - it } ?: Duration.ZERO
        level = minOf(burstBytes.toDouble(), level + elapsed.toDouble(DurationUnit.SECONDS) * bytesPerSecond)
        filledAt = now
    }
}
