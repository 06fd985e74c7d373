package org.celeryusher.kernel.execution

/**
 * Limits the retries for one service at one node to a share of the callers' first tries.
 *
 * The budget is a token bucket that is refilled by calls instead of time: each first try adds [share] of a token, and each retry takes one
 * token. The bucket starts with this node's part of the fleet's reserve. Its capacity is that part, or one token if the part is smaller.
 * Tokens therefore do not accumulate during quiet hours to be spent in a retry storm, and all nodes together never exceed the share by
 * more than the reserve.
 */
public class RetryBudget(
    private val share: Double,
    reserve: Double,
) {
    private var tokens = reserve
    private var capacity = capacityFor(reserve)

    /** Sets this node's part of the fleet's reserve to [reserve] tokens, and drops tokens beyond the new capacity. */
    public fun changeReserve(reserve: Double) {
        capacity = capacityFor(reserve)
        tokens = tokens.coerceAtMost(capacity)
    }

    /** Records a first try, which adds [share] of a token. */
    public fun recordFirstTry() {
        tokens = (tokens + share).coerceAtMost(capacity)
    }

    /** Takes one token for a retry and returns true, or returns false if less than one token is left. */
    public fun tryAcquire(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private fun capacityFor(reserve: Double): Double = maxOf(reserve, 1.0)

    public companion object {
        /** Returns the part of one node in a reserve of [fleetReserve] retries that is shared by [nodes] nodes. */
        public fun reserveOf(
            fleetReserve: Int,
            nodes: Int,
        ): Double = fleetReserve.toDouble() / nodes.coerceAtLeast(1)
    }
}
