package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment

/** The exclusive calls of one backend server: their queue, and when they may run. */
internal class ExclusiveCalls<Key : Any> {
    val queue = CallQueue<Key>()
    private val access = ExclusiveAccess()

    /** Whether calls that are not exclusive may not start now. */
    val blocksOthers: Boolean get() = access.blocksOthers

    /** Returns the times at which a queued call expires or may start without any other event. */
    fun dueTimes(): List<Moment> =
        queue.expiryCandidates().map { it.request.deadline } + listOfNotNull(access.nextChange().takeIf { queue.size > 0 })

    /**
     * Starts and returns the call that arrived first, or returns null when no exclusive call may start now.
     *
     * [running] is the number of running calls, and [others] the number of queued calls that are not exclusive.
     */
    fun startNext(
        running: Int,
        others: Int,
        now: Moment,
    ): AdmissionCall<Key>? {
        val first = queue.firstArrival()
        if (first == null) {
            access.abandon()
            return null
        }
        if (!access.mayStart(running, others, now)) return null
        access.start()
        return first
    }

    /** Records the end of the running exclusive call. */
    fun finish(now: Moment): Unit = access.finish(now)
}
