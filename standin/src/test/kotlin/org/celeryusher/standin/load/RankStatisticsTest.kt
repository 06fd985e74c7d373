package org.celeryusher.standin.load

import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.kernel.identity.RankName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RankStatisticsTest {
    @Test
    fun countsEachKindOfOutcome() {
        val statistics = RankStatistics(RankName("lookups"))
        val outcomes =
            listOf(
                CallOutcome.Answered(10.milliseconds),
                CallOutcome.Answered(1.seconds),
                CallOutcome.Answered(1_001.milliseconds),
                CallOutcome.Mismatched,
                CallOutcome.Refused("OVERLOADED", RunStatus.NOT_RUN),
                CallOutcome.Refused("CONNECTION_LOST", RunStatus.UNKNOWN),
                CallOutcome.Lost("EOFException"),
                CallOutcome.Lost("EOFException"),
            )
        outcomes.forEach { statistics.record(it, 1.seconds) }
        statistics.recordRetry()
        val result = statistics.result()
        assertEquals(
            listOf(8L, 2L, 1L, 1L, 1L, 3L, 1L),
            with(result) { listOf(calls, inTime, late, mismatched, notRun, unknown, sentAgain) },
        )
        assertEquals(0.25, result.shareInTime)
        assertEquals(
            listOf(RefusalCount("CONNECTION_LOST", 1), RefusalCount("EOFException", 2), RefusalCount("OVERLOADED", 1)),
            result.refusals,
        )
        assertEquals(1.0, RankStatistics(RankName("archives")).result().shareInTime)
    }
}
