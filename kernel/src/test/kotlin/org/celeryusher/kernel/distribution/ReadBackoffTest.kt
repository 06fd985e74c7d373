package org.celeryusher.kernel.distribution

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against read retries that overload a failing platform or that arrive too late after its recovery. */
class ReadBackoffTest {
    @Test
    fun pauseDoublesUpToTheMaximumAndResetsAfterASuccess() {
        repeat(100) { seed ->
            val backoff = ReadBackoff(first = 100.milliseconds, longest = 800.milliseconds)
            val random = Random(seed)
            for (full in listOf(100, 200, 400, 800, 800, 800)) {
                val pause = backoff.failed(random)
                assertTrue(pause in full.milliseconds / 2..full.milliseconds, "seed $seed: $pause of $full ms")
            }
            backoff.succeeded()
            assertTrue(backoff.failed(random) <= 100.milliseconds)
        }
    }

    @Test
    fun retryAfterIsHonouredUpToTheMaximum() {
        val random = Random(1)
        assertTrue(ReadBackoff().failed(random, retryAfter = 600.milliseconds) == 600.milliseconds)
        assertTrue(ReadBackoff().failed(random, retryAfter = 60.seconds) == 800.milliseconds)
    }
}
