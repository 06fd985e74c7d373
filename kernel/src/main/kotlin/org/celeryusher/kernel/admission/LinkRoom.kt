package org.celeryusher.kernel.admission

import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The large messages that wait to be sent on the link of an instance. */
public data class LinkBacklog(
    public val waitingBytes: Long,
    /** The rate at which they are sent. */
    public val bytesPerSecond: Double,
)

/**
 * Decides at a guard whether the answer to a call can be sent in time on the link of the instance.
 *
 * Addresses more large answers than the link carries: their servers would do the work, and the answers would all be late. Refused at
 * arrival, a call can go to another instance at once. Calls of routes with small answers are never refused. Not thread-safe.
 */
public class LinkRoom {
    private val answerBytes = LinkedHashMap<RouteName, Double>()
    private val startedCalls = HashMap<RouteName, Int>()

    /** Records that a call on [route] was admitted. */
    public fun recordAdmitted(route: RouteName) {
        startedCalls.merge(route, 1, Int::plus)
    }

    /** Records that an admitted call on [route] ended, with an answer of [bytes] or without one if null. */
    public fun recordEnd(
        route: RouteName,
        bytes: Int?,
    ) {
        startedCalls.computeIfPresent(route) { _, count -> (count - 1).takeIf { it > 0 } }
        if (bytes == null) return
        val known = answerBytes[route]
        if (known == null && answerBytes.size >= MAXIMUM_ROUTES) answerBytes.remove(answerBytes.keys.first())
        answerBytes[route] = if (known == null) bytes.toDouble() else known + SIZE_WEIGHT * (bytes - known)
    }

    /**
     * Returns the time from [now] until a call on [route] can be admitted, or null if it can be admitted now: its answer reaches the caller by [target].
     *
     * A call that is too late for [target] even on a free link, or whose target is not known, is admitted if its answer reaches the caller by
     * [deadline] after a wait of at most [LATE_CALL_WAIT], so that late answers are sent only on a link that is nearly free. A call alone is always
     * admitted: the size of its answer is only an average, and without an answer it would not be measured again.
     */
    public fun timeToRoom(
        route: RouteName,
        backlog: LinkBacklog?,
        target: Moment?,
        deadline: Moment,
        now: Moment,
    ): Duration? {
        val own = answerBytes[route] ?: return null
        if (backlog == null || own <= LinkSchedule.PART_BYTES) return null
        val ownTime = (own / backlog.bytesPerSecond).seconds
        val wait = waitFor(backlog)
        if (wait == Duration.ZERO) return null
        // The entry node forwards an answer when it has all of it, over a link that is assumed to be like this one.
        val untilReceived = ownTime * 2 + WAY_MARGIN
        val onTime = target?.let { it - now - untilReceived }?.takeIf { !it.isNegative() }
        val longestWait = onTime ?: minOf(LATE_CALL_WAIT, deadline - now - ownTime)
        return (wait - longestWait).takeIf { it.isPositive() }
    }

    /** Returns how long an answer waits for the link behind those in [backlog] and those that admitted calls will bring. */
    public fun waitFor(backlog: LinkBacklog): Duration {
        val admitted = startedCalls.entries.sumOf { (route, count) -> large(route) * count }
        return ((backlog.waitingBytes + admitted) / backlog.bytesPerSecond).seconds
    }

    private fun large(route: RouteName): Double = answerBytes[route]?.takeIf { it > LinkSchedule.PART_BYTES } ?: 0.0

    private companion object {
        const val SIZE_WEIGHT = 0.1
        const val MAXIMUM_ROUTES = 1_024

        /** Covers the latency of the network and an answer that is larger than the average of its route. */
        val WAY_MARGIN = 100.milliseconds

        /** About two answers of 90 KB at 10 Mbit/s. */
        val LATE_CALL_WAIT = 200.milliseconds
    }
}
