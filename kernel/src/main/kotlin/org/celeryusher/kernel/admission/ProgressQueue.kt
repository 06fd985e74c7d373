package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment

/**
 * The connections that send or read at present, by the time of their next check.
 *
 * All checks are due after the same window, so that the order of arrival is the order of the checks. The links are fields of the connections,
 * so that a request allocates nothing here.
 */
internal class ProgressQueue {
    private var first: HeldConnection? = null
    private var last: HeldConnection? = null

    /** Adds [connection], or moves it to the end, to be checked at [checkAt]. */
    fun enqueue(
        connection: HeldConnection,
        checkAt: Moment,
    ) {
        remove(connection)
        connection.checkAt = checkAt
        connection.checkedBytes = connection.transferredBytes
        connection.previous = last
        last?.next = connection
        if (first == null) first = connection
        last = connection
        connection.isQueued = true
    }

    /** Removes [connection] if it is queued. */
    fun remove(connection: HeldConnection) {
        if (!connection.isQueued) return
        val before = connection.previous
        val after = connection.next
        if (before == null) first = after else before.next = after
        if (after == null) last = before else after.previous = before
        connection.previous = null
        connection.next = null
        connection.isQueued = false
    }

    /** Returns the connection to be checked next if its check is due at [now]. */
    fun firstDue(now: Moment): HeldConnection? = first?.takeIf { it.checkAt <= now }
}
