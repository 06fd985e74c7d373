package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Alternates between exclusive calls and all others.
 *
 * Before an exclusive call starts, the start of other calls is blocked until the server is idle. If the server is not idle within
 * [maximumBlockingTime], the attempt is abandoned, so that one very long call does not stop the server. Each time, a cooldown follows in
 * which the other calls run: [COOLDOWN_FACTOR] times as long as they were blocked, at most [maximumCooldown].
 */
internal class ExclusiveAccess {
    private var blockingSince: Moment? = null
    private var nextBlockingAt = Moment.DISTANT_PAST

    /** Whether an exclusive call is running. */
    var isRunning = false
        private set

    /** Whether other calls may not start now. */
    val blocksOthers: Boolean get() = isRunning || blockingSince != null

    /** Returns when the result of [mayStart] may change without the arrival or end of a call, or null when it cannot. */
    fun nextChange(): Moment? = if (isRunning) null else blockingSince?.plus(maximumBlockingTime) ?: nextBlockingAt

    /**
     * Returns whether an exclusive call may start now. Starts or stops blocking other calls as needed.
     *
     * [running] is the number of running calls, and [others] the number of queued calls that are not exclusive.
     */
    fun mayStart(
        running: Int,
        others: Int,
        now: Moment,
    ): Boolean {
        if (isRunning) return false
        val since = blockingSince
        if (since != null && running > 0 && now - since >= maximumBlockingTime) {
            startCooldown(now - since, now)
        } else if (since == null && (now >= nextBlockingAt || (running == 0 && others == 0))) {
            blockingSince = now
        }
        return blockingSince != null && running == 0
    }

    fun start() {
        isRunning = true
    }

    fun finish(now: Moment) {
        isRunning = false
        startCooldown(now - (blockingSince ?: now), now)
    }

    /** Stops blocking other calls, after the exclusive call was refused before it started. */
    fun abandon() {
        if (!isRunning) blockingSince = null
    }

    private fun startCooldown(
        blockedFor: Duration,
        now: Moment,
    ) {
        blockingSince = null
        nextBlockingAt = now + minOf(blockedFor * COOLDOWN_FACTOR, maximumCooldown)
    }

    private companion object {
        val maximumBlockingTime = 1.seconds
        val maximumCooldown = 5.seconds
        const val COOLDOWN_FACTOR = 4
    }
}
