package org.celeryusher.kernel.admission

import org.celeryusher.kernel.configuration.FleetSettings
import kotlin.test.Test
import kotlin.test.assertEquals

class ConcurrencyLimitTest {
    private class Case(
        val name: String,
        val expected: Int,
        val events: ConcurrencyLimit.() -> Unit,
    )

    private val cases =
        listOf(
            Case("starts at the declared slots", 12) {},
            Case("is unchanged while service times are unchanged", 12) { ratios(0L..2_000L, 1.0) },
            Case("is unchanged within the latency tolerance", 12) { ratios(0L..2_000L, 1.9) },
            Case("falls when calls take four times as long", 2) { ratios(0L..2_000L, 4.0) },
            Case("falls no faster than the minimum gradient allows", 2) { ratios(0L..9_000L, 100.0) },
            Case("does not fall on too few samples", 12) { for (time in 0L..1_800L step 100) recordRatio(100.0, at(time)) },
            Case("recovers to the declared slots and no further", 12) {
                ratios(0L..2_000L, 4.0)
                ratios(2_001L..6_000L, 1.0)
            },
            Case("falls by a fifth when the server sheds", 9) { recordShed(at(0)) },
            Case("counts sheds within one window once", 9) { repeat(50) { recordShed(at(it.toLong())) } },
            Case("never falls below one", 1) { repeat(50) { recordShed(at(100L * it)) } },
            Case("applies a reduction of the slots immediately", 4) { changePolicy(policyOf(1.0, slots = 4)) },
            Case("applies an increase of the slots immediately", 20) { changePolicy(policyOf(1.0, slots = 20)) },
            Case("never exceeds the connections", 130) { changePolicy(policyOf(1.0, slots = 500)) },
            Case("stays reduced after a shed call when slots are added", 9) {
                recordShed(at(0))
                changePolicy(policyOf(1.0, slots = 20))
            },
            Case("ignores service times during slow start", 12) {
                serverStarted(at(6_000))
                ratios(6_000L..9_900L, 100.0)
            },
        )

    @Test
    fun followsServiceTimeBetweenOneAndTheDeclaredSlots() =
        cases.forEach { case ->
            val limit = ConcurrencyLimit(policyOf(1.0, slots = 12, settings = FleetSettings(slowStartMilliseconds = 4_000)))
            case.events(limit)
            assertEquals(case.expected, limit.at(at(10_000)), case.name)
        }

    private fun ConcurrencyLimit.ratios(
        times: LongRange,
        ratio: Double,
    ) = times.forEach { recordRatio(ratio, at(it)) }
}
