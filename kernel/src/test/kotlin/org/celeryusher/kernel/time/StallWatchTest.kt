package org.celeryusher.kernel.time

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StallWatchTest {
    private fun at(milliseconds: Int) = Moment(0) + milliseconds.milliseconds

    private data class Case(
        val name: String,
        val heartbeats: List<Int>,
        val readAt: Int,
        val lateness: Int,
    )

    @Test
    fun theTimeBetweenHeartbeatsInExcessOfTheIntervalIsLateness() {
        val cases =
            listOf(
                Case("regular heartbeats", listOf(50, 100, 150), readAt = 160, lateness = 0),
                Case("a heartbeat that is slightly late", listOf(50, 149), readAt = 150, lateness = 0),
                Case("a heartbeat that is late", listOf(50, 150), readAt = 151, lateness = 50),
                Case("read before the heartbeat that ends the gap", listOf(50), readAt = 650, lateness = 550),
                Case("read after the gap", listOf(50, 650), readAt = 690, lateness = 550),
                Case("the next heartbeat is on time", listOf(50, 650, 700), readAt = 701, lateness = 0),
                Case("late permanently", listOf(200, 400, 600, 800), readAt = 900, lateness = 150),
                Case("a second gap", listOf(50, 650, 700, 1_500), readAt = 1_510, lateness = 750),
                Case("a time before the previous heartbeat", listOf(100, 90), readAt = 110, lateness = 0),
            )
        for (case in cases) {
            val watch = StallWatch(at(0))
            case.heartbeats.forEach { watch.beat(at(it)) }
            assertEquals(case.lateness.milliseconds, watch.lateness(at(case.readAt)), case.name)
            assertEquals(at(case.readAt - case.lateness), watch.arrivalOf(at(case.readAt)), case.name)
        }
    }

    @Test
    fun aHeartbeatReturnsTheLatenessThatItEnds() {
        val watch = StallWatch(at(0))
        assertEquals(Duration.ZERO, watch.beat(at(50)))
        assertEquals(550.milliseconds, watch.beat(at(650)))
        assertEquals(Duration.ZERO, watch.beat(at(700)))
    }

    /** A node stalls for 600 ms while callers with a deadline of 230 ms send requests: all of these have expired when they are read. */
    @Test
    fun aDeadlineIncludesTheTimeThatARequestWaitedInTheSocket() {
        val watch = StallWatch(at(0))
        watch.beat(at(50))
        val readAt = at(660)
        assertEquals(true, watch.arrivalOf(readAt) + 230.milliseconds < readAt)
    }
}
