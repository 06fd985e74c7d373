package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Takes turns between calls that run alone and all others.
 *
 * A turn begins by holding back other starts until the server is empty. It is given up after [emptyingLimit], so that one very long
 * call does not stop the server, and after each turn the others run for [REST_FACTOR] times as long as it took, at most [longestRest].
 */
internal class ExclusiveTurn {
    private var emptyingSince: Moment? = null
    private var nextTurnAt = Moment.DISTANT_PAST

    /** Whether a call runs alone now. */
    var isRunning = false
        private set

    /** Whether other calls may start now. */
    val holdsOthersBack: Boolean get() = isRunning || emptyingSince != null

    /** Returns when [mayStart] may change its answer though no call arrives or finishes, or null when it cannot. */
    fun nextChange(): Moment? = if (isRunning) null else emptyingSince?.plus(emptyingLimit) ?: nextTurnAt

    /**
     * Returns whether a call that runs alone may start now, and begins or gives up the emptying of the server as needed.
     *
     * [others] is the number of other calls that wait.
     */
    fun mayStart(
        running: Int,
        others: Int,
        now: Moment,
    ): Boolean {
        if (isRunning) return false
        val since = emptyingSince
        if (since != null && running > 0 && now - since >= emptyingLimit) {
            rest(now - since, now)
        } else if (since == null && (now >= nextTurnAt || (running == 0 && others == 0))) {
            emptyingSince = now
        }
        return emptyingSince != null && running == 0
    }

    fun start() {
        isRunning = true
    }

    fun finish(now: Moment) {
        isRunning = false
        rest(now - (emptyingSince ?: now), now)
    }

    /** Ends a turn whose call left before it started. */
    fun abandon() {
        if (!isRunning) emptyingSince = null
    }

    private fun rest(
        turn: Duration,
        now: Moment,
    ) {
        emptyingSince = null
        nextTurnAt = now + minOf(turn * REST_FACTOR, longestRest)
    }

    private companion object {
        val emptyingLimit = 1.seconds
        val longestRest = 5.seconds
        const val REST_FACTOR = 4
    }
}
