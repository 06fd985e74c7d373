package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.RouteName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class CallerWaitEstimatorTest {
    private val route = RouteName("lookups")

    private data class Case(
        val name: String,
        val earlierDeadlines: List<Long>,
        val deadline: Long,
        val expected: ClosedRange<Duration>,
    )

    private fun exactly(milliseconds: Int): ClosedRange<Duration> = milliseconds.milliseconds..milliseconds.milliseconds

    @Test
    fun theWaitIsEstimatedFromTheDeadlinesOfFirstTries() {
        val random = Random(20261204)
        val firstTries = List(64) { random.nextLong(680, 801) }
        val retries = List(28) { random.nextLong(1, 550) }
        val cases =
            listOf(
                Case("the first call of a route", emptyList(), 800, exactly(0)),
                Case("few calls", List(6) { 800L }, 500, exactly(0)),
                Case("a first try", List(24) { 800L }, 800, exactly(0)),
                Case("a first try with a slightly shorter deadline", List(24) { 800L }, 680, exactly(0)),
                Case("a retry", List(24) { 800L }, 400, exactly(280)),
                Case("no time left", List(24) { 800L }, 0, exactly(680)),
                Case("a longer deadline than usual", List(24) { 800L }, 3_000, exactly(0)),
                Case("first tries with different deadlines", firstTries, 690, exactly(0)),
                Case("a retry among first tries with different deadlines", firstTries, 400, 230.milliseconds..290.milliseconds),
                Case("many retries", (retries + firstTries.take(36)).shuffled(random), 400, 200.milliseconds..290.milliseconds),
                Case("callers that changed their deadline", List(64) { 800L } + List(64) { 400L }, 400, exactly(0)),
                Case("a retry after callers changed their deadline", List(64) { 800L } + List(64) { 400L }, 200, exactly(140)),
            )
        for (case in cases) {
            val estimator = CallerWaitEstimator()
            case.earlierDeadlines.forEach { estimator.elapsedSinceFirstTry(route, it) }
            val estimate = estimator.elapsedSinceFirstTry(route, case.deadline)
            assertTrue(estimate in case.expected, "${case.name}: $estimate")
        }
    }

    @Test
    fun eachRouteHasItsOwnEstimateAndTheOldestIsEvicted() {
        val estimator = CallerWaitEstimator()
        repeat(20) { estimator.elapsedSinceFirstTry(route, 800) }
        assertEquals(Duration.ZERO, estimator.elapsedSinceFirstTry(RouteName("bookings"), 300))
        assertEquals(380.milliseconds, estimator.elapsedSinceFirstTry(route, 300))
        repeat(2_000) { estimator.elapsedSinceFirstTry(RouteName("route-$it"), 100) }
        assertEquals(Duration.ZERO, estimator.elapsedSinceFirstTry(route, 300))
    }
}
