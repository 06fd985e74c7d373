package org.celeryusher.kernel.routing

import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class EntryThrottleInFlightTest {
    private val service = ServiceName("billing-desk")
    private val rank = RankName("collections")

    private fun EntryThrottle.refusalsOf(
        calls: Int,
        from: Moment,
        random: Random,
    ): Int = (0 until calls).count { decide(service, rank, 0.0, from + it.milliseconds, random) is EntryDecision.Refuse }

    @Test
    fun callsInFlightAreNotCountedAsRefused() {
        for (calls in listOf(1, 4, 100)) {
            assertEquals(0, EntryThrottle().refusalsOf(calls, Moment(0), Random(7)), "refusals with $calls calls in flight")
        }
    }

    @Test
    fun refusedCallsAreCounted() {
        val throttle = EntryThrottle()
        val random = Random(7)
        repeat(100) { throttle.decide(service, rank, 0.0, Moment(0), random) }
        repeat(100) { throttle.answered(service, rank, accepted = false, Moment(0)) }
        val refused = throttle.refusalsOf(100, Moment(0), random)
        assertEquals(true, refused > 90, "refused $refused of 100")
    }
}
