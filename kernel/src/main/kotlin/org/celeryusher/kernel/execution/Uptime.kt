package org.celeryusher.kernel.execution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A reading of one node's own monotonic clock, in milliseconds since its process started.
 *
 * Use this type for a time that another node states but that only the clock's owner compares. Unlike a `Moment` it may be sent; it means
 * nothing without the life of the node that it belongs to.
 */
@JvmInline
@Serializable
public value class Uptime(
    public val milliseconds: Long,
) : Comparable<Uptime> {
    /** Returns the reading [duration] later, rounded down to milliseconds. */
    public operator fun plus(duration: Duration): Uptime = Uptime(milliseconds + duration.inWholeMilliseconds)

    /** Returns the time from [other] to this reading, negative when [other] is later. */
    public operator fun minus(other: Uptime): Duration = (milliseconds - other.milliseconds).milliseconds

    override fun compareTo(other: Uptime): Int = milliseconds.compareTo(other.milliseconds)

    override fun toString(): String = "${milliseconds}ms"
}

/** What a node knows of another node's clock: the reading [uptime] arrived from it at the moment [receivedAt]. */
public data class RemoteClock(
    public val uptime: Uptime,
    public val receivedAt: Moment,
) {
    /**
     * Returns a reading that the other node has passed by [now].
     *
     * The transit time of the reading and a drift of one part in a thousand are left out, so a deadline stated by it errs early.
     */
    public fun earliest(now: Moment): Uptime = uptime + (now - receivedAt) * (1 - MAXIMUM_CLOCK_DRIFT)

    private companion object {
        private const val MAXIMUM_CLOCK_DRIFT = 0.001
    }
}
