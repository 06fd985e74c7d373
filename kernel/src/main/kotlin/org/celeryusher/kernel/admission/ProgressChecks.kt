package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/** Finds the senders and readers that are slower than [limits] allow. */
internal class ProgressChecks(
    private val limits: CallerBudgetLimits,
) {
    private val queue = ProgressQueue()
    private var sweptAt: Moment? = null
    private var lenientUntil = Moment.DISTANT_PAST

    /** Records that a transfer begins on [connection], whose rate is checked until [end]. */
    fun begin(
        connection: HeldConnection,
        now: Moment,
    ) {
        connection.spareBytes = 0
        queue.enqueue(connection, now + limits.progressWindow)
    }

    /** Records that the transfer on [connection], if any, has ended. */
    fun end(connection: HeldConnection): Unit = queue.remove(connection)

    /** Returns the connections whose senders or readers are too slow; only those that are due are visited. */
    fun overdue(now: Moment): List<OverdueConnection> {
        // After a pause of this process, it is not the callers who were slow.
        val before = sweptAt
        if (before != null && now - before > STALL_LIMIT) lenientUntil = now + limits.progressWindow
        sweptAt = now
        val overdue = mutableListOf<OverdueConnection>()
        while (true) {
            val connection = queue.firstDue(now) ?: return overdue
            val isLenient = now < lenientUntil
            if (!isLenient && !meetsMinimum(connection)) {
                queue.remove(connection)
                val cause = if (connection.phase == CallerPhase.SENDING) CallerCause.SLOW_READER else CallerCause.SLOW_SENDER
                overdue += OverdueConnection(connection, cause)
            } else {
                queue.enqueue(connection, now + limits.progressWindow)
            }
        }
    }

    /**
     * Charges the window that is over to [connection], and returns whether it has transferred enough for it.
     *
     * The socket takes more of a response only after the reader's system has emptied a large part of its buffer, which a steady reader at the
     * minimum rate needs many windows for. What it has taken before therefore counts for later windows.
     */
    private fun meetsMinimum(connection: HeldConnection): Boolean {
        val transferred = connection.transferredBytes - connection.checkedBytes
        if (connection.phase != CallerPhase.SENDING) return transferred >= limits.progressBytes
        connection.spareBytes = minOf(connection.spareBytes + transferred, LARGEST_SPARE_BYTES) - limits.progressBytes
        return connection.spareBytes >= 0
    }

    private companion object {
        /** More than what the socket of a reader with a receive buffer of 1 MB takes at once (393,216 bytes on loopback). */
        const val LARGEST_SPARE_BYTES = 1_048_576L

        /** Without a sweep for this long, the process was paused or got no processor time. */
        val STALL_LIMIT = 3.seconds
    }
}
