package org.celeryusher.kernel.execution

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when a caller whose call was refused should come back.
 *
 * Answers the load of a burst that fills all queues: callers that come back together fill them again, and one that comes back after its
 * target latency is worth little. So a caller is asked to come back when room is expected, as long as the target can still be met then,
 * and otherwise late and spread out, within the part of its time that callers are ready to wait.
 */
public object ReturnAdvice {
    private val shortest = 20.milliseconds

    /** The part of the time left that callers wait at most before they try again. */
    private const val LONGEST_SHARE = 1.0 / 3.0
    private const val SPREAD = 0.5

    /**
     * Returns the time to wait, given that a guard expects room after [expectedWait] (null when none said so), the target latency is
     * over after [targetLeft] and the caller gives up after [deadlineLeft].
     */
    public fun after(
        expectedWait: Duration?,
        targetLeft: Duration,
        deadlineLeft: Duration,
        random: Random,
    ): Duration {
        val longest = deadlineLeft * LONGEST_SHARE
        val room = maxOf(expectedWait ?: shortest, shortest)
        val wanted = if (room * 2 < targetLeft) room else maxOf(room, longest * (1.0 - SPREAD))
        val spread = wanted * (1.0 + SPREAD * random.nextDouble())
        return minOf(spread, maxOf(longest, shortest)).coerceAtLeast(shortest)
    }
}
