package org.celeryusher.standin.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.kernel.identity.RankName
import kotlin.time.Duration

/** What the calls of one rank got. */
@Serializable
public data class RankResult(
    public val rank: RankName,
    public val calls: Long,
    /** Whole answers within the deadline. */
    public val inTime: Long,
    public val late: Long,
    public val mismatched: Long,
    public val notRun: Long,
    public val unknown: Long,
    public val sentAgain: Long,
    public val p50Milliseconds: Double,
    public val p99Milliseconds: Double,
    public val refusals: List<RefusalCount>,
) {
    /** The share of calls that were answered whole and within the deadline; 1 when there were none. */
    public val shareInTime: Double get() = if (calls == 0L) 1.0 else inTime.toDouble() / calls
}

/** How often calls were refused or lost for one reason. */
@Serializable
public data class RefusalCount(
    public val reason: String,
    public val count: Long,
)

/** Collects the outcomes of one rank. */
public class RankRecord(
    private val rank: RankName,
) {
    private val histogram = Histogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    private val refusals = sortedMapOf<String, Long>()
    private var calls = 0L
    private var inTime = 0L
    private var late = 0L
    private var mismatched = 0L
    private var notRun = 0L
    private var unknown = 0L
    private var sentAgain = 0L

    /** Records the outcome of one call with [deadline]. */
    @Synchronized
    public fun record(
        outcome: CallOutcome,
        deadline: Duration,
    ) {
        calls++
        when (outcome) {
            is CallOutcome.Answered -> {
                histogram.recordValue(outcome.after.inWholeMicroseconds.coerceAtMost(HIGHEST_MICROSECONDS))
                if (outcome.after <= deadline) inTime++ else late++
            }

            CallOutcome.Mismatched -> {
                mismatched++
            }

            is CallOutcome.Refused -> {
                if (outcome.runStatus == RunStatus.NOT_RUN) notRun++ else unknown++
                refusals.merge(outcome.error, 1, Long::plus)
            }

            is CallOutcome.Lost -> {
                unknown++
                refusals.merge(outcome.reason, 1, Long::plus)
            }
        }
    }

    /** Records that a caller sent one call again through another node. */
    @Synchronized
    public fun recordSentAgain() {
        sentAgain++
    }

    /** Returns what was recorded. */
    @Synchronized
    public fun result(): RankResult =
        RankResult(
            rank = rank,
            calls = calls,
            inTime = inTime,
            late = late,
            mismatched = mismatched,
            notRun = notRun,
            unknown = unknown,
            sentAgain = sentAgain,
            p50Milliseconds = histogram.getValueAtPercentile(50.0) / MICROSECONDS_PER_MILLISECOND,
            p99Milliseconds = histogram.getValueAtPercentile(99.0) / MICROSECONDS_PER_MILLISECOND,
            refusals = refusals.map { (reason, count) -> RefusalCount(reason, count) },
        )

    private companion object {
        const val HIGHEST_MICROSECONDS = 120_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
    }
}
