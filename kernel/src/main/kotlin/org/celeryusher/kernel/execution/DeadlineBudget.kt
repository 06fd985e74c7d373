package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The time that a call has left, anchored at this node's clock.
 *
 * Between nodes the time left travels as whole milliseconds, rounded down; zero or less means that the call is refused.
 */
public data class DeadlineBudget(
    public val deadline: Moment,
) {
    /** Returns the time left at [now], zero once the deadline has passed. */
    public fun left(now: Moment): Duration = (deadline - now).coerceAtLeast(Duration.ZERO)

    /** Returns whether the deadline has been reached at [now]. */
    public fun hasPassed(now: Moment): Boolean = now >= deadline

    /**
     * Returns the milliseconds to send to the next node, or null when nothing would be left there.
     *
     * The way there and the way back, [oneWay] each, are taken off, so that an answer within the sent time is back in time.
     */
    public fun millisecondsForNextHop(
        oneWay: Duration,
        now: Moment,
    ): Long? = (left(now) - oneWay * 2).inWholeMilliseconds.takeIf { it > 0 }

    /** Returns the time by which the node with [clock] must have answered, in that node's own clock, or null when nothing is left. */
    public fun expiryAt(
        clock: RemoteClock,
        oneWay: Duration,
        now: Moment,
    ): Uptime? = millisecondsForNextHop(oneWay, now)?.let { clock.earliest(now) + it.milliseconds }

    public companion object {
        /**
         * Returns the budget of a call that arrives at [now] with [millisecondsLeft] in its header, bounded by [limit].
         *
         * A call without the header gets [limit]; one with nothing left gets a deadline that has passed.
         */
        public fun onArrival(
            millisecondsLeft: Long?,
            limit: Duration,
            now: Moment,
        ): DeadlineBudget {
            val left = millisecondsLeft?.coerceAtLeast(0)?.milliseconds ?: limit
            return DeadlineBudget(now + minOf(left, limit))
        }
    }
}
