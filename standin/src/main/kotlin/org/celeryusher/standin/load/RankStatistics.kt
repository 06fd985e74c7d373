package org.celeryusher.standin.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.kernel.identity.RankName
import kotlin.time.Duration

/** Results of the calls of one rank. */
@Serializable
public data class RankResult(
    public val rank: RankName,
    public val calls: Long,
    /** Complete answers within the deadline. */
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
    /** Share of calls with a complete answer within the deadline, or 1 if there were no calls. */
    public val shareInTime: Double get() = if (calls == 0L) 1.0 else inTime.toDouble() / calls
}

/** Number of calls that were refused or lost for one reason. */
@Serializable
public data class RefusalCount(
    public val reason: String,
    public val count: Long,
)

/** Collects the outcomes of the calls of one rank. */
public class RankStatistics(
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

    /** Records the [outcome] of a call with the given [deadline]. */
    @Synchronized
    public fun record(
        outcome: CallOutcome,
        deadline: Duration,
    ) {
        calls++
        when (outcome) {
            is CallOutcome.Answered -> {
                histogram.recordValue(outcome.latency.inWholeMicroseconds.coerceAtMost(HIGHEST_MICROSECONDS))
                if (outcome.latency <= deadline) inTime++ else late++
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

    /** Records that a caller retried a call. */
    @Synchronized
    public fun recordRetry() {
        sentAgain++
    }

    /** Returns the results recorded so far. */
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
