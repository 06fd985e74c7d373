package org.celeryusher.kernel.distribution

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exponential backoff with jitter between failed reads of the platform.
 *
 * The pause doubles from [first] to [longest]. The jitter keeps nodes that failed together from retrying together, which bounds the load on
 * the platform during an outage and in the reconnect storm after it. The pause stays short because entries that expired during an outage
 * must be re-read within two seconds of its end. Not thread-safe.
 */
public class ReadBackoff(
    private val first: Duration = 100.milliseconds,
    private val longest: Duration = 800.milliseconds,
) {
    private var failures = 0

    /** Resets the backoff after a successful read. */
    public fun succeeded() {
        failures = 0
    }

    /** Records a failed read and returns the pause before the next one: at least [retryAfter], up to the limit of [longest]. */
    public fun failed(
        random: Random,
        retryAfter: Duration = Duration.ZERO,
    ): Duration {
        val base = minOf(first * (1 shl minOf(failures, MAXIMUM_DOUBLINGS)), longest)
        failures++
        val jittered = base * (1.0 - JITTER_SHARE * random.nextDouble())
        return maxOf(jittered, minOf(retryAfter, longest))
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 10
        const val JITTER_SHARE = 0.5
    }
}
