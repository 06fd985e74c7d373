package org.celeryusher.standin.server

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BackendServerProfileTest {
    @Test
    fun slowdownDecreasesDuringWarmUp() {
        val profile = BackendServerProfile(startup = 2.seconds, warmUp = 4.seconds, warmUpFactor = 5.0)
        val cases = listOf(1.seconds to 5.0, 2.seconds to 5.0, 4.seconds to 3.0, 6.seconds to 1.0, 60.seconds to 1.0)
        for ((age, slowdown) in cases) assertEquals(slowdown, profile.slowdownAt(age), "at $age")
        assertEquals(1.0, BackendServerProfile().slowdownAt(0.seconds))
    }

    @Test
    fun longestMatchingPrefixDeterminesTheServiceTime() {
        val short = ServiceTime.Fixed(1.milliseconds)
        val long = ServiceTime.Fixed(2.milliseconds)
        val profile = BackendServerProfile(serviceTimes = listOf(PathServiceTime("/a", short), PathServiceTime("/a/b", long)))
        val cases = listOf("/a/b/c" to long, "/a/c" to short, "/z" to profile.defaultServiceTime)
        for ((path, expected) in cases) assertEquals(expected, profile.serviceTimeOf(path), path)
    }

    @Test
    fun samplesAreWithinBoundsAndReproducible() {
        val times =
            listOf(
                ServiceTime.Fixed(5.milliseconds) to 5.0..5.0,
                ServiceTime.Uniform(2.milliseconds, 4.milliseconds) to 2.0..4.0,
                ServiceTime.Exponential(mean = 3.milliseconds, longest = 9.milliseconds) to 0.0..9.0,
            )
        for ((time, bounds) in times) {
            val samples = List(1_000) { time.sample(Random(it)).inWholeMicroseconds / 1_000.0 }
            assertTrue(samples.all { it in bounds }, "$time gave ${samples.min()} to ${samples.max()}")
            assertEquals(time.sample(Random(7)), time.sample(Random(7)))
        }
    }
}
