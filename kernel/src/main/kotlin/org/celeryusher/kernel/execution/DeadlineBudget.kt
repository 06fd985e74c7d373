package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The deadline of a call on this node's clock.
 *
 * Messages between nodes contain the remaining time instead, in whole milliseconds, rounded down. A call with zero or less is refused.
 */
public data class DeadlineBudget(
    public val deadline: Moment,
) {
    /** Returns the remaining time at [now], or zero if the deadline has passed. */
    public fun left(now: Moment): Duration = (deadline - now).coerceAtLeast(Duration.ZERO)

    /** Returns whether the deadline has been reached at [now]. */
    public fun hasPassed(now: Moment): Boolean = now >= deadline

    /**
     * Returns the remaining time in milliseconds to send to the next node, or null if no time would remain there.
     *
     * A network round trip of twice [oneWay] is subtracted, so that an answer within the sent time reaches this node before the deadline.
     */
    public fun millisecondsForNextHop(
        oneWay: Duration,
        now: Moment,
    ): Long? = (left(now) - oneWay * 2).inWholeMilliseconds.takeIf { it > 0 }

    /** Returns the time by which the node with [clock] must answer, on that node's own clock, or null if no time would remain there. */
    public fun expiryAt(
        clock: RemoteClock,
        oneWay: Duration,
        now: Moment,
    ): Uptime? = millisecondsForNextHop(oneWay, now)?.let { clock.lowerBoundAt(now) + it.milliseconds }

    public companion object {
        /**
         * Returns the budget of a call that arrives at [now] with [millisecondsLeft] in its header, or [limit] if that is less.
         *
         * A call without the header gets [limit]. A call with zero or less gets a deadline that has already passed.
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
