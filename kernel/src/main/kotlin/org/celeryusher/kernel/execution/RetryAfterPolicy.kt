package org.celeryusher.kernel.execution

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses the retry delay of a caller whose call was refused.
 *
 * After a burst has filled all queues, callers that retry at the same time fill them again, and an answer after the target latency is worth
 * little. If the target can still be met, the delay is the time until queue capacity is expected. Otherwise the delay is long, so that its
 * random jitter spreads the callers widely, but it stays within the share of the remaining time that callers are ready to wait.
 */
public object RetryAfterPolicy {
    private val minimumDelay = 20.milliseconds

    /** The longest delay that callers accept before a retry, as a share of their remaining time. */
    private const val MAXIMUM_DELAY_SHARE = 1.0 / 3.0
    private const val JITTER_SHARE = 0.5

    /**
     * Returns the time that the caller should wait before it retries.
     *
     * [expectedWait] is the time after which a guard expects capacity in its queue, or null if no guard reported one. [targetLeft] is the
     * time until the target latency has passed, and [deadlineLeft] the time until the caller's deadline.
     */
    public fun chooseDelay(
        expectedWait: Duration?,
        targetLeft: Duration,
        deadlineLeft: Duration,
        random: Random,
    ): Duration {
        val maximumDelay = deadlineLeft * MAXIMUM_DELAY_SHARE
        val expectedDelay = maxOf(expectedWait ?: minimumDelay, minimumDelay)
        val baseDelay = if (expectedDelay * 2 < targetLeft) expectedDelay else maxOf(expectedDelay, maximumDelay * (1.0 - JITTER_SHARE))
        val jittered = baseDelay * (1.0 + JITTER_SHARE * random.nextDouble())
        return minOf(jittered, maxOf(maximumDelay, minimumDelay)).coerceAtLeast(minimumDelay)
    }
}
