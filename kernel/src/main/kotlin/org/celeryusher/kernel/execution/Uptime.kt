package org.celeryusher.kernel.execution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.time.Moment
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

/** A node's estimate of another node's clock: the reading [uptime] was received from it at the moment [receivedAt]. */
public data class RemoteClock(
    public val uptime: Uptime,
    public val receivedAt: Moment,
) {
    /**
     * Returns a lower bound of the other node's clock at [now].
     *
     * The result excludes the transit time of the reading and allows for a clock drift of one part in a thousand. A deadline computed from
     * it is therefore never too late, but may be slightly too early.
     */
    public fun lowerBoundAt(now: Moment): Uptime = uptime + (now - receivedAt) * (1 - MAXIMUM_CLOCK_DRIFT)

    private companion object {
        private const val MAXIMUM_CLOCK_DRIFT = 0.001
    }
}
