package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment

/**
 * The starts of calls that may not have reached the server yet, since it has not shown that it received them.
 *
 * A server that is paused receives what its host has buffered all at once when it resumes, also calls whose callers have left.
 */
internal class UnansweredStarts {
    private val running = ArrayList<Moment>()
    private val abandoned = ArrayList<Moment>()

    /** Records the start of a call. */
    fun started(now: Moment) {
        running += now
    }

    /** Records the end of the call started at [startedAt], in whatever way. */
    fun ended(startedAt: Moment) {
        val index = startedNotAfter(running, startedAt) - 1
        if (index >= 0 && running[index] == startedAt) running.removeAt(index)
    }

    /** Records that the guard gave up the call started at [startedAt], of which only the latest [maximum] are kept. */
    fun abandoned(
        startedAt: Moment,
        maximum: Int,
    ) {
        abandoned.add(startedNotAfter(abandoned, startedAt), startedAt)
        while (abandoned.size > maximum) abandoned.removeAt(0)
    }

    /** Records an answer to a request sent at [sentAt], by when the server has received what it was sent before. Returns the number of these. */
    fun received(sentAt: Moment): Int {
        val count = startedNotAfter(abandoned, sentAt)
        abandoned.subList(0, count).clear()
        return count
    }

    /** Forgets the calls that were given up: the process that had them has ended. */
    fun forgetAbandoned(): Unit = abandoned.clear()

    /** Returns the number of calls that were started at [moment] or before. */
    fun startedBy(moment: Moment): Int = startedNotAfter(running, moment) + startedNotAfter(abandoned, moment)

    private fun startedNotAfter(
        times: List<Moment>,
        moment: Moment,
    ): Int = times.binarySearch { if (it <= moment) -1 else 1 }.inv()
}
