package org.celeryusher.kernel.execution

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RetryBudgetTest {
    private data class Fleet(
        val nodes: Int,
        val firstTries: Int,
        val share: Double,
        val reserve: Int,
    )

    /** Guards against a retry storm in an outage, when every first try fails at every node and would be retried. */
    @Test
    fun aFleetWhoseCallsAllFailRetriesWithinItsShareAndReserve() {
        val fleets =
            listOf(
                Fleet(nodes = 1, firstTries = 0, share = 0.1, reserve = 60),
                Fleet(nodes = 13, firstTries = 0, share = 0.1, reserve = 60),
                Fleet(nodes = 13, firstTries = 400, share = 0.1, reserve = 60),
                Fleet(nodes = 13, firstTries = 4_000, share = 0.2, reserve = 62),
                Fleet(nodes = 1_600, firstTries = 160, share = 0.1, reserve = 60),
                Fleet(nodes = 1_600, firstTries = 40_000, share = 0.05, reserve = 0),
            )
        for (fleet in fleets) {
            val budgets = List(fleet.nodes) { RetryBudget(fleet.share, RetryBudget.reserveOf(fleet.reserve, fleet.nodes)) }
            var retries = budgets.sumOf { budget -> (0 until fleet.reserve + 1).count { budget.tryAcquire() } }
            repeat(fleet.firstTries) { call ->
                val budget = budgets[call % fleet.nodes]
                budget.recordFirstTry()
                if (budget.tryAcquire()) retries++
            }
            val allowed = fleet.share * fleet.firstTries + fleet.reserve
            assertTrue(retries <= allowed, "$fleet: $retries retries exceed the allowed $allowed")
        }
    }

    @Test
    fun aNodeWithLessThanOneTokenOfReserveCanRetryAfterEnoughFirstTries() {
        val budget = RetryBudget(share = 0.25, reserve = 0.01)
        assertFalse(budget.tryAcquire())
        repeat(4) { budget.recordFirstTry() }
        assertTrue(budget.tryAcquire())
        assertFalse(budget.tryAcquire())
    }

    @Test
    fun aSmallerPartOfTheReserveDropsTheExcessTokens() {
        val budget = RetryBudget(share = 0.0, reserve = 60.0)
        budget.changeReserve(RetryBudget.reserveOf(60, nodes = 20))
        assertEquals(3, (0 until 10).count { budget.tryAcquire() })
    }
}
