package org.celeryusher.standin.platform

import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class PlatformCallCounterTest {
    @Test
    fun refusesCallsAboveTheLimitPerSecond() {
        val counter = PlatformCallCounter(maximumPerSecond = 2)
        val admitted =
            listOf(0, 10, 999, 1_000, 1_001, 1_500, 2_000).map {
                counter.admit(PlatformCallKind.WATCH, Moment(0) + it.milliseconds)
            }
        assertEquals(listOf(true, true, false, true, true, false, true), admitted)
        assertEquals(PlatformCallCounts(watches = 7, refused = 2, maximumPerSecond = 3), counter.snapshot())
    }
}
