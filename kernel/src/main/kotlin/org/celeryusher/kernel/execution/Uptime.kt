package org.celeryusher.kernel.execution

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A reading of one node's own monotonic clock, in milliseconds since its process started.
 *
 * This type is for times that another node states but that only the owner of the clock compares. Unlike a `Moment`, a reading may be sent
 * to other nodes. It is meaningful only together with the process start (`Incarnation.start`) of the node.
 */
@JvmInline
@Serializable
public value class Uptime(
    public val milliseconds: Long,
) : Comparable<Uptime> {
    /** Returns the reading [duration] later, with [duration] truncated to whole milliseconds. */
    public operator fun plus(duration: Duration): Uptime = Uptime(milliseconds + duration.inWholeMilliseconds)

    /** Returns the time from [other] to this reading, which is negative if [other] is later. */
    public operator fun minus(other: Uptime): Duration = (milliseconds - other.milliseconds).milliseconds

    override fun compareTo(other: Uptime): Int = milliseconds.compareTo(other.milliseconds)

    override fun toString(): String = "${milliseconds}ms"
}
