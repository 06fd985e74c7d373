package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment

/**
 * The limits on the calls that may start in a second on one backend server: the one that it has stated, and the one while it is cold. None
 * starts while [hold] holds them back.
 */
internal class StartRate(
    private val cold: ColdLimit,
    private val hold: ResumeHold,
) {
    private val stated = RateLimit()

    /** Returns the lower of the limits at [now], or null if there is none. */
    fun perSecond(now: Moment): Double? {
        val whileCold = cold.perSecond(now)
        val always = stated.perSecond
        return if (whileCold == null || always == null) whileCold ?: always else minOf(whileCold, always)
    }

    /** The limit that the server has stated, or null if it has stated none. */
    val statedPerSecond: Double? get() = stated.perSecond

    /** See [RateLimit.state]. */
    fun state(
        perSecond: Double?,
        now: Moment,
    ): Unit = stated.state(perSecond, now)

    /** See [RateLimit.suggest]. */
    fun suggest(
        known: Double?,
        now: Moment,
    ): Unit = stated.suggest(known, now)

    /** Forgets what the previous process of the server has stated. */
    fun reset(now: Moment) {
        stated.reset()
        cold.stateLost(now)
    }

    /** Returns the number of calls that may start at [now], or null if there is no limit. */
    fun permits(now: Moment): Int? {
        if (hold.heldUntil(now) != null) return 0
        val whileCold = cold.permits(now)
        val always = stated.permits(now)
        return if (whileCold == null || always == null) whileCold ?: always else minOf(whileCold, always)
    }

    /** Returns when [calls] more calls may have started, or [now] if there is no limit. */
    fun permittedAt(
        calls: Int,
        now: Moment,
    ): Moment = maxOf(stated.permittedAt(calls, now), cold.permittedAt(calls, now), hold.heldUntil(now) ?: now)

    /** See [ColdLimit.ended]. */
    fun ended(
        startedAt: Moment,
        now: Moment,
    ): Unit = cold.ended(startedAt, now)

    /** Counts the start of a call. */
    fun take(now: Moment) {
        stated.take(now)
        cold.take(now)
    }
}
