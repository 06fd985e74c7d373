package org.celeryusher.kernel.routing

import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class AdaptiveThrottleTest {
    private val service = ServiceName("records-hub")
    private val archives = RankName("archives")
    private val lookups = RankName("lookups")
    private val throttle = AdaptiveThrottle()
    private val random = Random(20261204)

    private class Counts(
        var sent: Int = 0,
        var accepted: Int = 0,
        var calls: Int = 0,
    )

    /** Replays [callsPerMillisecond] calls of [rank] against guards that serve [servedPerMillisecond] and queue up to [QUEUE_CAPACITY]. */
    private fun replay(
        rank: RankName,
        milliseconds: Iterable<Int>,
        callsPerMillisecond: Int,
        servedPerMillisecond: Int,
        guaranteedShare: Double = 0.1,
    ): Counts {
        val counts = Counts()
        var queued = 0
        for (millisecond in milliseconds) {
            val now = Moment(0) + millisecond.milliseconds
            queued = (queued - servedPerMillisecond).coerceAtLeast(0)
            repeat(callsPerMillisecond) {
                counts.calls++
                if (throttle.decide(service, rank, guaranteedShare, now, random) !is ThrottleDecision.Refuse) {
                    counts.sent++
                    val accept = servedPerMillisecond > 0 && queued < QUEUE_CAPACITY
                    if (accept) queued++
                    if (accept) counts.accepted++
                    throttle.recordResult(service, rank, accept, now)
                }
            }
        }
        return counts
    }

    @Test
    fun aFloodIsThrottledAndOtherRanksAreNot() {
        replay(archives, 0..1_999, callsPerMillisecond = 10, servedPerMillisecond = 1)
        val flood = replay(archives, 2_000..5_999, callsPerMillisecond = 10, servedPerMillisecond = 1)
        assertTrue(flood.sent < flood.calls / 5, "sent ${flood.sent} of ${flood.calls}")
        assertTrue(flood.accepted >= 3_800, "guards accepted ${flood.accepted} of 4000")
        val others = replay(lookups, 6_000..6_099, callsPerMillisecond = 1, servedPerMillisecond = 1)
        assertEquals(others.calls, others.sent)
    }

    @Test
    fun throttlingEndsWithinFiveSecondsOfAFlood() {
        replay(archives, 0..5_999, callsPerMillisecond = 10, servedPerMillisecond = 0)
        replay(archives, 6_000..10_999, callsPerMillisecond = 1, servedPerMillisecond = 1)
        val after = replay(archives, 11_000..11_999, callsPerMillisecond = 1, servedPerMillisecond = 1)
        assertEquals(after.calls, after.sent)
    }

    @Test
    fun throttlingEndsHalfASecondAfterAFlood() {
        replay(archives, 0..2_999, callsPerMillisecond = 10, servedPerMillisecond = 1)
        replay(archives, 3_000..3_499, callsPerMillisecond = 1, servedPerMillisecond = 1)
        val later = replay(archives, 3_500..4_499, callsPerMillisecond = 1, servedPerMillisecond = 1)
        assertEquals(later.calls, later.sent)
    }

    /** Simulates one proxy of a small fleet with few calls, all of which are refused during a burst of three seconds and accepted later. */
    @Test
    fun aProxyWithFewCallsIsNotThrottledAfterABurst() {
        val refused = replay(archives, (0..2_999 step 25).toList(), callsPerMillisecond = 1, servedPerMillisecond = 0)
        val later = replay(archives, (3_600..4_599 step 25).toList(), callsPerMillisecond = 1, servedPerMillisecond = 1)
        assertTrue(refused.sent < refused.calls, "sent ${refused.sent} of ${refused.calls}")
        assertEquals(later.calls, later.sent)
    }

    @Test
    fun aThrottledRankSendsItsGuaranteedShare() {
        for (second in 0 until 6) {
            val time = second * 1_000 until (second + 1) * 1_000
            replay(lookups, time, callsPerMillisecond = 1, servedPerMillisecond = 1)
            val refused = replay(archives, time, callsPerMillisecond = 4, servedPerMillisecond = 0, guaranteedShare = 0.25)
            assertTrue(refused.sent >= 238, "second $second: sent ${refused.sent} of a guaranteed share of 250")
        }
        val idle = replay(archives, 20_000..20_999, callsPerMillisecond = 1, servedPerMillisecond = 0, guaranteedShare = 0.0)
        assertTrue(idle.sent >= 5, "one probe in each bucket of the window")
    }

    private companion object {
        private const val QUEUE_CAPACITY = 48
    }
}
