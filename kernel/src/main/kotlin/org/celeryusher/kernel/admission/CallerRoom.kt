package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment

/** Makes room for what the connections of a [CallerBudget] are to hold, in [memory] and within [limits], and counts it. */
internal class CallerRoom(
    private val memory: MemoryBudget,
    private val limits: CallerBudgetLimits,
    private val selection: ConnectionSelection,
) {
    /** What the connections hold, by portion of the memory. */
    val portions: CallerPortions = CallerPortions()

    /** Returns whether the process may hold [added] bytes more beside everything else. */
    fun isBelowCeiling(added: Long): Boolean = memory.reserved + added <= limits.capacityBytes * CEILING

    /** Returns the connections to close so that [connection] can hold [added] bytes more, or null if there is no room for them. */
    fun make(
        connection: HeldConnection,
        added: Long,
        now: Moment,
    ): List<HeldConnection>? {
        if (added <= 0) return emptyList()
        if (connection.port == CallerPort.ADMIN) {
            return closeUntil(connection, now) { portions.admin - portions.adminClosing + added <= limits.adminBytes }
        }
        if (!isBelowCeiling(added)) return null
        if (connection.isExempt) return emptyList()
        val extra = extraBytes(connection)
        return closeUntil(connection, now) {
            portions.unadmitted - portions.unadmittedClosing + added <= limits.unadmittedBytes &&
                (extra + added <= CallerBudget.SMALL_BYTES || memory.allows(extra, added, portions.unadmittedClosing))
        }
    }

    private fun closeUntil(
        requester: HeldConnection,
        now: Moment,
        hasRoom: () -> Boolean,
    ): List<HeldConnection>? {
        if (hasRoom()) return emptyList()
        val closing = mutableListOf<HeldConnection>()
        while (!hasRoom()) {
            val victim = if (closing.size < MAXIMUM_CLOSED_AT_ONCE) selection.toEvict(requester, now) else null
            if (victim == null) {
                // Nothing is closed in vain.
                closing.forEach(::unmarkClosing)
                if (closing.isNotEmpty()) selection.restoreCandidates()
                return null
            }
            markClosing(victim)
            closing += victim
        }
        return closing
    }

    /** Charges [bytes] more to [connection], or gives them back if negative. */
    fun hold(
        connection: HeldConnection,
        bytes: Long,
    ) {
        if (bytes == 0L) return
        portions.add(connection, bytes)
        if (connection.port != CallerPort.ADMIN) memory.take(bytes)
    }

    /** Records that [connection] has been selected to be closed. */
    fun markClosing(connection: HeldConnection): Unit = portions.move(connection) { connection.isClosing = true }

    /** Records that [connection] is not to be closed, or is closed. */
    fun unmarkClosing(connection: HeldConnection): Unit = portions.move(connection) { connection.isClosing = false }

    /** Returns what [connection] holds beyond what it is charged from its opening on. */
    fun extraBytes(connection: HeldConnection): Long = (connection.heldBytes - CallerBudgetLimits.CONNECTION_BYTES).coerceAtLeast(0)

    private companion object {
        /** The capacity is 55% of the heap by default; a quarter more leaves room for everything else. */
        const val CEILING = 1.25

        /** Bounds the work of one decision. */
        const val MAXIMUM_CLOSED_AT_ONCE = 16
    }
}
