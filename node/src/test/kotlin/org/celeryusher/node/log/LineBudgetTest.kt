package org.celeryusher.node.log

import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class LineBudgetTest {
    @Test
    fun linesBeyondTheBoundAreCountedAndToldInTheNextSecond() {
        val budget = LineBudget(linesPerSecond = 3)
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
        for ((milliseconds, mayWrite, droppedBefore) in cases) {
            val verdict = budget.take(Moment(0) + milliseconds.milliseconds)
            assertEquals(LineBudget.Verdict(mayWrite, droppedBefore), verdict, "at $milliseconds ms")
        }
    }
}
