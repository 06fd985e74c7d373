package org.celeryusher.kernel.execution

/**
 * Bounds the retries of one service at one node to a share of its first tries.
 *
 * A token bucket over counts: each first try adds [share] of a token, each retry takes a whole one. It starts with [reserve] tokens and
 * never holds more, so that a node with few calls can retry at all and a quiet hour does not pay for a storm.
 */
public class RetryBudget(
    private val share: Double,
    private val reserve: Double = DEFAULT_RESERVE_TOKENS,
) {
    private var tokens = reserve

    /** Counts a first try. */
    public fun firstTry() {
        tokens = (tokens + share).coerceAtMost(reserve)
    }

    /** Takes the cost of one retry and returns true, or returns false and takes nothing when it cannot be paid. */
    public fun tryRetry(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        private const val DEFAULT_RESERVE_TOKENS = 10.0
    }
}
