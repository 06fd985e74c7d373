package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryBudgetTest {
    private val start = Moment(0)
    private val bounds = RetryBounds(share = 0.2, reserve = 60, window = 10.seconds)

    private data class Fleet(
        val guards: Int,
        val requests: Int,
        val share: Double,
        val reserve: Int,
    )

    /** Guards against a retry storm in an outage, when every first try fails at every node and would be retried. */
    @Test
    fun aServiceWhoseCallsAllFailIsRetriedWithinItsShareAndReserve() {
        val fleets =
            listOf(
                Fleet(guards = 1, requests = 0, share = 0.1, reserve = 60),
                Fleet(guards = 13, requests = 0, share = 0.1, reserve = 60),
                Fleet(guards = 13, requests = 400, share = 0.1, reserve = 60),
                Fleet(guards = 13, requests = 4_000, share = 0.2, reserve = 62),
                Fleet(guards = 78, requests = 0, share = 0.2, reserve = 30),
                Fleet(guards = 1_600, requests = 160, share = 0.1, reserve = 60),
                Fleet(guards = 1_600, requests = 40_000, share = 0.05, reserve = 0),
            )
        for (fleet in fleets) {
            val budgets = List(fleet.guards) { budgetOf(it, fleet) }
            val now = start + 11.seconds
            var retries = budgets.sumOf { budget -> (0 until fleet.reserve + 1).count { budget.charge(1.0, now) != null } }
            repeat(fleet.requests) { request ->
                val budget = budgets[request % fleet.guards]
                budget.recordRequest(now)
                if (budget.charge(1.0, now) != null) retries++
            }
            val allowed = fleet.share * fleet.requests + fleet.reserve
            assertTrue(retries <= allowed, "$fleet: $retries retries exceed the allowed $allowed")
            assertTrue(retries >= fleet.reserve, "$fleet: $retries retries are fewer than the reserve")
        }
    }

    private fun budgetOf(
        position: Int,
        fleet: Fleet,
    ): RetryBudget {
        val part = RetryBudget.partOf(fleet.reserve, position, fleet.guards)
        return RetryBudget(start).apply { change(RetryBounds(fleet.share, fleet.reserve, 10.seconds), part, start) }
    }

    private data class Change(
        val at: Duration,
        val part: Int,
    )

    /** Guards against guards that hold more than the reserve together while a list is late or a node starts again. */
    @Test
    fun aPartCountsOnlyAfterAWindowInWhichOthersMaySpendIt() {
        val cases: List<Triple<List<Change>, Duration, Int>> =
            listOf(
                Triple(listOf(Change(0.seconds, 5)), 9.9.seconds, 0),
                Triple(listOf(Change(0.seconds, 5)), 10.1.seconds, 5),
                Triple(listOf(Change(0.seconds, 5), Change(12.seconds, 8)), 13.seconds, 5),
                Triple(listOf(Change(0.seconds, 5), Change(12.seconds, 8)), 22.1.seconds, 8),
                Triple(listOf(Change(0.seconds, 5), Change(12.seconds, 2)), 12.seconds, 2),
                Triple(listOf(Change(0.seconds, 5), Change(12.seconds, 2), Change(13.seconds, 5)), 22.5.seconds, 2),
                Triple(listOf(Change(0.seconds, 5), Change(12.seconds, 2), Change(13.seconds, 5)), 23.1.seconds, 5),
            )
        for ((changes, at, expected) in cases) {
            val budget = RetryBudget(start)
            for (change in changes) budget.change(bounds, change.part, start + change.at)
            assertEquals(expected, (0 until 20).count { budget.charge(1.0, start + at) != null }, "$changes at $at")
        }
    }

    @Test
    fun requestsAndChargesLeaveTheWindow() {
        val budget = RetryBudget(start).apply { change(bounds, 0, start) }
        repeat(10) { budget.recordRequest(start + 100.milliseconds * it) }
        assertNotNull(budget.charge(1.0, start + 1.seconds))
        val second = assertNotNull(budget.charge(1.0, start + 1.seconds))
        assertNull(budget.charge(0.5, start + 1.seconds))
        budget.refund(second)
        assertNotNull(budget.charge(1.0, start + 1.seconds))
        assertNull(budget.charge(0.1, start + 11.5.seconds), "the requests have left the window")
        assertEquals(0.0, budget.available(start + 14.seconds), "the charges have left it too")
    }
}
