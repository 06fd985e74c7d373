package org.celeryusher.kernel.distribution

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The pause between failed reads of the platform.
 *
 * It doubles from [first] to [longest], with a random part, so that nodes that failed together do not come back together. It stays short,
 * because entries that lapsed in an outage must be looked at within two seconds of its end. Answers the load of an outage and of the
 * reconnect storm after it. Not safe for use by several threads.
 */
public class ReadBackoff(
    private val first: Duration = 100.milliseconds,
    private val longest: Duration = 800.milliseconds,
) {
    private var failures = 0

    /** Takes in a read that succeeded. */
    public fun succeeded() {
        failures = 0
    }

    /** Takes in a read that failed, and returns how long to wait before the next; the platform's own wish [asked] goes first, within bounds. */
    public fun failed(
        random: Random,
        asked: Duration = Duration.ZERO,
    ): Duration {
        val base = minOf(first * (1 shl minOf(failures, MOST_DOUBLINGS)), longest)
        failures++
        val jittered = base * (1.0 - JITTER_SHARE * random.nextDouble())
        return maxOf(jittered, minOf(asked, longest))
    }

    private companion object {
        const val MOST_DOUBLINGS = 10
        const val JITTER_SHARE = 0.5
    }
}
