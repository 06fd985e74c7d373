package org.celeryusher.node.log

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds the log lines of each second, and counts those that found no place. */
internal class LineBudget(
    private val linesPerSecond: Int,
) {
    private var windowEnds = Moment.DISTANT_PAST
    private var written = 0
    private var dropped = 0L

    /** How a line fares: whether it may be written, and how many were dropped in the second before, when that has just ended. */
    data class Verdict(
        val mayWrite: Boolean,
        val droppedBefore: Long,
    )

    /** Decides about one line. */
    @Synchronized
    fun take(now: Moment): Verdict {
        var droppedBefore = 0L
        if (now >= windowEnds) {
            droppedBefore = dropped
            dropped = 0
            written = 0
            windowEnds = now + WINDOW
        }
        val mayWrite = written < linesPerSecond
        if (mayWrite) written++ else dropped++
        return Verdict(mayWrite, droppedBefore)
    }

    private companion object {
        val WINDOW: Duration = 1.seconds
    }
}
