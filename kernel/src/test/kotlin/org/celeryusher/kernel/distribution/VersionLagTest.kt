package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class VersionLagTest {
    /** Guards against a late node that looks up to date, or late from the newest version only. */
    @Test
    fun theLagCountsFromTheFirstVersionThatTheNodeDoesNotHave() {
        val start = Moment(0)
        val lag = VersionLag()
        assertEquals(0.seconds, lag.durationAt(start))
        lag.putInForce(4, start)
        lag.heard(4, start + 1.seconds)
        assertEquals(0.seconds, lag.durationAt(start + 2.seconds), "nothing newer")
        lag.heard(6, start + 2.seconds)
        lag.heard(7, start + 3.seconds)
        lag.heard(5, start + 3.seconds)
        assertEquals(3.seconds, lag.durationAt(start + 5.seconds), "two versions behind")
        lag.putInForce(6, start + 5.seconds)
        assertEquals(4.seconds, lag.durationAt(start + 6.seconds), "still one behind")
        lag.putInForce(7, start + 6.seconds)
        assertEquals(0.seconds, lag.durationAt(start + 7.seconds), "up to date")
        assertEquals(7, lag.newestHeard)
    }
}
