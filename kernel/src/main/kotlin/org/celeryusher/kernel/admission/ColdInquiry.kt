package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides when a guard asks its backend server how long it stays cold, for [ColdLimit]. */
internal class ColdInquiry {
    private var askedAt = Moment.DISTANT_PAST
    private var isAskedSoon = false
    private var askAgainAt: Moment? = null

    /** Makes the next [shouldAsk] return true. */
    fun askSoon() {
        isAskedSoon = true
    }

    /** Records that a request got no answer, so that it must be repeated. */
    fun failed(now: Moment) {
        askAgainAt = now + ASK_INTERVAL_UNKNOWN
    }

    /** Returns whether to ask at [now], and if so counts the server as asked. A server that [isBusy] is asked about each [busyInterval]. */
    fun shouldAsk(
        isUnknown: Boolean,
        isBusy: Boolean,
        busyInterval: Duration,
        now: Moment,
    ): Boolean {
        val interval = if (isUnknown) ASK_INTERVAL_UNKNOWN else busyInterval.coerceIn(BUSY_INTERVALS)
        val isDue = isAskedSoon || askAgainAt?.let { now >= it } == true || ((isUnknown || isBusy) && now - askedAt >= interval)
        if (isDue) {
            isAskedSoon = false
            askAgainAt = null
            askedAt = now
        }
        return isDue
    }

    private companion object {
        val ASK_INTERVAL_UNKNOWN = 500.milliseconds

        /** A server that becomes cold unnoticed gets about a third of its bound before it is asked, unless it is called very often. */
        val BUSY_INTERVALS = 50.milliseconds..200.milliseconds
    }
}
