package org.celeryusher.kernel.distribution

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReadBackoffTest {
    @Test
    fun thePauseDoublesUpToTheLongestAndStartsAnewAfterASuccess() {
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
    fun thePlatformsWishIsHeededWithinBounds() {
        val random = Random(1)
        assertTrue(ReadBackoff().failed(random, asked = 600.milliseconds) == 600.milliseconds)
        assertTrue(ReadBackoff().failed(random, asked = 60.seconds) == 800.milliseconds)
    }
}
