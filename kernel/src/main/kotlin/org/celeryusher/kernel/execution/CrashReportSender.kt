package org.celeryusher.kernel.execution

import org.celeryusher.kernel.distribution.ByteTokenBucket
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** Decides how many crash reports one node sends to others, so that many crashes at once stay within the budget of control traffic. */
public class CrashReportSender(
    bytesPerSecond: Int = 4_096,
    burstBytes: Int = 32_768,
    private val maximumBatchBytes: Int = 8_192,
) {
    private val bucket = ByteTokenBucket(bytesPerSecond, burstBytes)

    /** Returns the time until the next batch may be sent, zero when it may be sent at [now]. */
    public fun timeUntilAvailable(now: Moment): Duration = bucket.timeUntilAvailable(now)

    /** Returns what to send to a node that knows [suspects] up to change number [cursor], or null for a node that knows nothing of them. */
    public fun nextBatch(
        suspects: CrashSuspects,
        cursor: Long?,
        now: Moment,
    ): CrashReportBatch {
        val batch = suspects.changesSince(cursor ?: 0, maximumBatchBytes, now)
        bucket.spend(batch.reports.sumOf { it.estimatedBytes }, now)
        return batch
    }
}
