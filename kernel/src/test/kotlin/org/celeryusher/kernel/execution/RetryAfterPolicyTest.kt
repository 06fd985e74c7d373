package org.celeryusher.kernel.execution

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryAfterPolicyTest {
    private class Case(
        val name: String,
        val expectedWait: Duration?,
        val targetLeft: Duration,
        val deadlineLeft: Duration,
        val range: ClosedRange<Duration>,
    )

    private val cases =
        listOf(
            Case("queue capacity soon", 50.milliseconds, 250.milliseconds, 800.milliseconds, 50.milliseconds..75.milliseconds),
            Case("queue capacity now", Duration.ZERO, 250.milliseconds, 800.milliseconds, 20.milliseconds..30.milliseconds),
            Case("no expected wait reported", null, 250.milliseconds, 800.milliseconds, 20.milliseconds..30.milliseconds),
            Case("target out of reach", 200.milliseconds, 250.milliseconds, 900.milliseconds, 200.milliseconds..300.milliseconds),
            Case("target latency passed", 10.milliseconds, (-50).milliseconds, 900.milliseconds, 150.milliseconds..300.milliseconds),
            Case("limited to a share of the deadline", 5.seconds, 250.milliseconds, 900.milliseconds, 300.milliseconds..300.milliseconds),
            Case("no time left", 50.milliseconds, Duration.ZERO, Duration.ZERO, 20.milliseconds..20.milliseconds),
        )

    @Test
    fun theDelayIsTheExpectedWaitOrSpreadWidely() {
        for (case in cases) {
            repeat(200) { seed ->
                val delay = RetryAfterPolicy.chooseDelay(case.expectedWait, case.targetLeft, case.deadlineLeft, Random(seed))
                assertTrue(delay in case.range, "${case.name}, seed $seed: $delay")
            }
        }
    }
}
