package org.celeryusher.kernel.membership

/**
 * How far this node trusts its own timing (Lifeguard's local health multiplier, section IV-A).
 *
 * [multiplier] is 1 for a healthy node. It stretches the node's probe interval and timeouts when the evidence is that the node itself
 * is slow or badly connected, so that it suspects others less readily.
 */
internal class LocalHealth {
    private var score = 0

    val multiplier: Int get() = score + 1

    fun improve() {
        score = (score - 1).coerceAtLeast(0)
    }

    fun worsen(by: Int = 1) {
        score = (score + by).coerceAtMost(MAXIMUM_SCORE)
    }

    private companion object {
        const val MAXIMUM_SCORE = 4
    }
}
