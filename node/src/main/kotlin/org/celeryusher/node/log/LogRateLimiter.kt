package org.celeryusher.node.log

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits the number of log lines in each second, and counts the lines that exceed the limit. */
internal class LogRateLimiter(
    private val linesPerSecond: Int,
) {
    private var windowEnd = Moment.DISTANT_PAST
    private var allowed = 0
    private var dropped = 0L

    /** Whether a line may be written, and the number of lines dropped in the previous window: 0 unless this line opens a new one. */
    data class Outcome(
        val isAllowed: Boolean,
        val droppedBefore: Long,
    )

    /** Requests permission to write one line at the time [now]. */
    @Synchronized
    fun tryAcquire(now: Moment): Outcome {
        var droppedBefore = 0L
        if (now >= windowEnd) {
            droppedBefore = dropped
            dropped = 0
            allowed = 0
            windowEnd = now + WINDOW
        }
        val isAllowed = allowed < linesPerSecond
        if (isAllowed) allowed++ else dropped++
        return Outcome(isAllowed, droppedBefore)
    }

    private companion object {
        val WINDOW: Duration = 1.seconds
    }
}
