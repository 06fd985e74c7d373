package org.celeryusher.kernel.membership

/**
 * The health of this node as it measures it itself (Lifeguard's local health multiplier, section IV-A).
 *
 * [multiplier] is 1 for a healthy node. A higher value extends the node's probe interval and timeouts: there is evidence that the node
 * itself is slow or has a bad connection, and it must suspect others less readily.
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
