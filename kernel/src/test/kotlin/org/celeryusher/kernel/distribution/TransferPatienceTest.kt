package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class TransferPatienceTest {
    private data class Case(
        val name: String,
        val bytesAt: Map<Int, Long>,
        /** When the answer is given up, in milliseconds after the request. */
        val givenUpAt: Int,
    )

    /** Guards against answers that are given up while they arrive. */
    @Test
    fun anAnswerIsAwaitedAsLongAsItArrives() {
        val cases =
            listOf(
                Case("silent", emptyMap(), 800),
                Case("begun before the timeout, then silent", mapOf(700 to 10L), 1_050),
                Case("begun after the timeout", mapOf(900 to 10L), 800),
                Case("arrives in parts", mapOf(600 to 10L, 1_000 to 20L, 1_200 to 30L), 1_550),
                Case("arrives without end", (0..10_000 step 100).associateWith { it + 1L }, 5_000),
            )
        for (case in cases) {
            val patience = TransferPatience(800.milliseconds, Moment(0))
            var now = 0
            while (now < 20_000) {
                val wait = patience.waitAt(Moment(0) + now.milliseconds, bytesUntil(case, now))
                if (!wait.isPositive()) break
                now += wait.inWholeMilliseconds.toInt()
            }
            assertEquals(case.givenUpAt, now, case.name)
        }
    }

    /** Guards against answers that are given up although they arrived while the process was held up. */
    @Test
    fun aProcessThatWasHeldUpGetsTheTimeToReadWhatHasArrived() {
        data class Held(
            val name: String,
            val checksAt: List<Int>,
            val expected: List<Int>,
        )
        val cases =
            listOf(
                Held("on time", listOf(800), listOf(0)),
                Held("a little late", listOf(840), listOf(0)),
                Held("held up at the end", listOf(1_100), listOf(250)),
                Held("held up twice", listOf(1_100, 1_600), listOf(250, 0)),
                Held("held up beyond the longest time", listOf(6_000), listOf(0)),
            )
        for (case in cases) {
            val patience = TransferPatience(800.milliseconds, Moment(0))
            val waits = case.checksAt.map { patience.waitAt(Moment(0) + it.milliseconds, receivedBytes = 0) }
            assertEquals(case.expected.map { it.milliseconds }, waits, case.name)
        }
    }

    private fun bytesUntil(
        case: Case,
        milliseconds: Int,
    ): Long = case.bytesAt.filterKeys { it <= milliseconds }.maxOfOrNull { it.value } ?: 0
}
