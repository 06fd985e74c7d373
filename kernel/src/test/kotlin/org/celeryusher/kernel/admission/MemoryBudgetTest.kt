package org.celeryusher.kernel.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class MemoryBudgetTest {
    /** Returns how many bytes each of [messages] holds after all have grown in turn by [step] until none may grow further. */
    private fun growAll(
        budget: MemoryBudget,
        messages: Int,
        step: Long,
    ): List<Long> {
        val held = LongArray(messages)
        do {
            val isGrown =
                held.indices.count { index ->
                    budget.grow(held[index], step).also { if (it) held[index] += step }
                } > 0
        } while (isGrown)
        return held.toList()
    }

    /** Guards against messages without end that take all memory from the others. */
    @Test
    fun messagesWithoutEndLeaveRoomForASmallOne() {
        for ((messages, largest, small) in listOf(Triple(1, 660L..670L, 200L), Triple(3, 270L..290L, 90L), Triple(50, 8L..20L, 5L))) {
            val budget = MemoryBudget(capacity = 1_000)
            val held = growAll(budget, messages, step = 1)
            assertTrue(held.all { it in largest }, "$messages messages hold $held")
            assertTrue(budget.grow(held = 0, added = small), "$messages messages leave no room for $small bytes")
        }
    }

    @Test
    fun releasedMemoryCanBeReservedAgain() {
        val budget = MemoryBudget(capacity = 1_000)
        assertTrue(budget.grow(held = 0, added = 600))
        assertFalse(budget.grow(held = 0, added = 300))
        budget.release(600)
        assertTrue(budget.grow(held = 0, added = 300))
        budget.take(900)
        assertEquals(1_200, budget.reserved)
        assertFalse(budget.grow(held = 0, added = 1))
    }
}
