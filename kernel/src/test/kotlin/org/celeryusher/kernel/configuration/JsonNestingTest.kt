package org.celeryusher.kernel.configuration

import kotlin.test.Test
import kotlin.test.assertEquals

class JsonNestingTest {
    @Test
    fun theDepthOfEachTextIsJudgedWithoutTheStack() {
        val limit = JsonNesting.MAXIMUM_DEPTH
        val cases =
            listOf(
                "" to true,
                "7" to true,
                "[".repeat(limit) + "]".repeat(limit) to true,
                "[".repeat(limit + 1) + "]".repeat(limit + 1) to false,
                "[".repeat(limit + 1) to false,
                "{\"a\":".repeat(limit) + "1" + "}".repeat(limit) to true,
                "{\"a\":".repeat(limit + 1) to false,
                "[{\"a\":".repeat(limit / 2) + "1" + "}]".repeat(limit / 2) to true,
                "[{\"a\":".repeat(limit / 2) + "[1]" to false,
                "[],".repeat(10_000) to true,
                "\"" + "[".repeat(10_000) + "\"" to true,
                "\"\\\"" + "[".repeat(10_000) + "\"" to true,
                "\"\\\\\"" + "[".repeat(10_000) to false,
                "\"" + "[".repeat(10_000) to true,
                "[".repeat(1_000_000) to false,
            )
        for ((text, expected) in cases) assertEquals(expected, JsonNesting.isWithinLimit(text), text.take(80))
    }
}
