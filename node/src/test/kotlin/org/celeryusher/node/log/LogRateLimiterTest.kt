package org.celeryusher.node.log

import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** Checks that a burst of decisions cannot flood the log, and that the log says how many lines it dropped. */
class LogRateLimiterTest {
    @Test
    fun linesAboveTheLimitAreDroppedAndReportedInALaterSecond() {
        val limiter = LogRateLimiter(linesPerSecond = 3)
        val cases =
            listOf(
                Triple(0, true, 0L),
                Triple(1, true, 0L),
                Triple(2, true, 0L),
                Triple(3, false, 0L),
                Triple(999, false, 0L),
                Triple(1_000, true, 2L),
                Triple(1_001, true, 0L),
                Triple(5_000, true, 0L),
            )
        for ((milliseconds, isAllowed, droppedBefore) in cases) {
            val outcome = limiter.tryAcquire(Moment(0) + milliseconds.milliseconds)
            assertEquals(LogRateLimiter.Outcome(isAllowed, droppedBefore), outcome, "at $milliseconds ms")
        }
    }
}
