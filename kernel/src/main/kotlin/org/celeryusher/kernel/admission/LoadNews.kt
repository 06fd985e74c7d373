package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when a guard tells proxies its load unasked.
 *
 * Answers the load of a burst: the counts that travel on answers are as old as the last call between two nodes, which is longer than a call
 * takes, so that all proxies would choose the server that was idle then. A guard with free slots that stay free says nothing.
 */
public class LoadNews {
    private var told: GuardLoad? = null
    private var toldAt = Moment.DISTANT_PAST

    /** Returns whether [load] differs enough from what was told last, and takes it as told if so. */
    public fun isWorthTelling(
        load: GuardLoad,
        now: Moment,
    ): Boolean {
        val isNew = told?.let { differs(it, load, now - toldAt) } ?: true
        if (isNew) {
            told = load
            toldAt = now
        }
        return isNew
    }

    private fun differs(
        before: GuardLoad,
        after: GuardLoad,
        age: Duration,
    ): Boolean {
        if (before.ranks.size != after.ranks.size || isFull(before) != isFull(after)) return true
        if (before.ranks.map { it.accepting } != after.ranks.map { it.accepting }) return true
        if (isFull(after) && age >= LONGEST_SILENCE_WHEN_FULL) return true
        return before.ranks.zip(after.ranks).any { (old, new) ->
            abs(old.estimatedWaitMilliseconds - new.estimatedWaitMilliseconds) >=
                WAIT_STEP
        }
    }

    private fun isFull(load: GuardLoad): Boolean = load.running >= load.limit

    private companion object {
        /** A wait that differs by less is no reason to choose another server at once. */
        const val WAIT_STEP = 25L

        /** Proxies believe a count for about as long. */
        val LONGEST_SILENCE_WHEN_FULL = 500.milliseconds
    }
}
