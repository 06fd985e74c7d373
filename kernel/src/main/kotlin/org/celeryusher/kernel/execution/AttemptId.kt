package org.celeryusher.kernel.execution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.random.Random

/**
 * The random 128-bit identifier of one attempt to run a call's work.
 *
 * An attempt is sent to one guard, the admission control in front of a backend server. Each retry is a new attempt with a new identifier.
 */
@Serializable
public data class AttemptId(
    public val high: Long,
    public val low: Long,
) {
    override fun toString(): String = hexFormat.toHexDigits(high) + hexFormat.toHexDigits(low)

    public companion object {
        /** Returns a new identifier drawn from [random], whose sequence must differ between processes. */
        public fun random(random: Random): AttemptId = AttemptId(random.nextLong(), random.nextLong())
    }
}

/**
 * Identifies one attempt at the guard that it is sent to.
 *
 * [processStart] is the `Incarnation.start` of that guard. [expiresAt] is the time on that guard's own clock from which no copy of the
 * attempt may start. Every copy of the message contains both, so the guard can decide about a delayed copy without knowing its network
 * delay.
 */
@Serializable
public data class AttemptReference(
    public val id: AttemptId,
    @SerialName("life") public val processStart: Long,
    public val expiresAt: Uptime,
)
