package org.celeryusher.kernel.execution

import kotlinx.serialization.Serializable
import kotlin.random.Random

/** The random 128-bit name of one attempt: one sending of one call's work to one guard. A retry is another attempt with another id. */
@Serializable
public data class AttemptId(
    public val high: Long,
    public val low: Long,
) {
    override fun toString(): String = "%016x%016x".format(high, low)

    public companion object {
        /** Returns a new id drawn from [random], which must not repeat between processes. */
        public fun random(random: Random): AttemptId = AttemptId(random.nextLong(), random.nextLong())
    }
}

/**
 * Names one attempt for the guard that it is sent to.
 *
 * [life] is the `Incarnation.start` of that guard, [expiresAt] the time on that guard's own clock from which no copy of the attempt may
 * start. Both travel with each copy, so how long a copy was on its way does not matter.
 */
@Serializable
public data class AttemptReference(
    public val id: AttemptId,
    public val life: Long,
    public val expiresAt: Uptime,
)
