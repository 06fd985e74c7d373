package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The limit on the number of calls a second that a backend server states for itself: a token bucket that its guard takes from.
 *
 * All calls to a server pass its guard, so the limit holds for all proxies together without any message between them. It holds for as long
 * as the server states it. A guard that has just started does not know it; until the first answer of the server, it uses the limit that
 * proxies learned before and send with their calls.
 */
internal class RateLimit {
    private var tokens = 0.0
    private var lastEventAt = Moment.DISTANT_PAST
    private var hasAnswered = false

    /** The current limit, or null if there is none. */
    var perSecond: Double? = null
        private set

    /** Records that the server stated the limit [stated] in an answer, or none if it is null. */
    fun state(
        stated: Double?,
        now: Moment,
    ) {
        hasAnswered = true
        change(stated, now)
    }

    /** Records the limit [known] to a proxy. Ignored once the server itself has answered. */
    fun suggest(
        known: Double?,
        now: Moment,
    ) {
        if (!hasAnswered && known != null) change(known, now)
    }

    /** Forgets the limit, which another process of the server has not stated. */
    fun reset() {
        perSecond = null
        hasAnswered = false
    }

    /** Returns the number of calls that may start at [now], or null if there is no limit. */
    fun permits(now: Moment): Int? = perSecond?.let { tokensAt(now, it).toInt() }

    /** Returns when [calls] more calls may have started, or [now] if there is no limit. */
    fun permittedAt(
        calls: Int,
        now: Moment,
    ): Moment {
        val rate = perSecond ?: return now
        val missing = calls - tokensAt(now, rate)
        return if (missing <= 0.0) now else now + 1.seconds * (missing / rate)
    }

    /** Counts the start of a call. */
    fun take(now: Moment) {
        val rate = perSecond ?: return
        tokens = tokensAt(now, rate) - 1.0
        lastEventAt = now
    }

    // A bucket that has just been introduced is empty: the server is already in need.
    private fun change(
        rate: Double?,
        now: Moment,
    ) {
        val before = perSecond
        tokens = if (before == null) 0.0 else tokensAt(now, before)
        lastEventAt = now
        perSecond = rate?.coerceAtLeast(MINIMUM_PER_SECOND)
    }

    private fun tokensAt(
        now: Moment,
        rate: Double,
    ): Double = minOf(tokens + (now - lastEventAt).coerceAtLeast(Duration.ZERO) / 1.seconds * rate, maxOf(rate * BURST_SECONDS, 1.0))

    private companion object {
        /** The time over which unused calls are kept, so that calls that arrive together do not wait. */
        const val BURST_SECONDS = 0.5

        /** A server without any call could not state that its limit has risen. */
        const val MINIMUM_PER_SECOND = 0.2
    }
}
