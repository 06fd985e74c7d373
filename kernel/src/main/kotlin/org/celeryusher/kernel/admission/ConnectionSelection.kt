package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** Selects which of the [connections] to a node are closed to make room for others. */
internal class ConnectionSelection(
    private val connections: Collection<HeldConnection>,
    private val limits: CallerBudgetLimits,
    private val idle: IdleConnections = IdleConnections(),
) {
    /** For each scope, the time before which no connection in it can have stalled, so that none is visited until then. */
    private val noneStalledBefore = Array(SCOPES) { Moment.DISTANT_PAST }

    /** Returns the connection to close for a new one at [port], or null if there is none. Transfers that progress are not interrupted. */
    fun toReplace(
        port: CallerPort,
        now: Moment,
    ): HeldConnection? =
        idle.firstRefused(port)
            ?: idle.longestIdle(port).maxByOrNull { burden(it, now) }
            ?: idleBeforeFrames(port, now)
            ?: heaviestStalled(port.ordinal, now) { it.port == port }
            ?: longestUnused(port)

    /** Returns the connection to the address for frames that has brought none, if [port] is that address. */
    private fun idleBeforeFrames(
        port: CallerPort,
        now: Moment,
    ): HeldConnection? =
        if (port != CallerPort.FRAMES) null else heaviest(now) { it.port == port && isReplaceable(it) && it.phase == CallerPhase.IDLE }

    /** Returns the connection of another node that has been without frames for the longest; that node connects again when it needs to. */
    private fun longestUnused(port: CallerPort): HeldConnection? {
        if (port != CallerPort.FRAMES) return null
        return connections
            .filter { it.port == port && it.isProvenNode && !it.isClosing && it.phase == CallerPhase.IDLE && !it.isInUse }
            .minByOrNull { it.progressedAt }
    }

    /** Returns the connection to close so that [requester] can hold more in the same portion of the memory, or null if there is none. */
    fun toEvict(
        requester: HeldConnection,
        now: Moment,
    ): HeldConnection? {
        val isAdmin = requester.port == CallerPort.ADMIN
        return heaviestStalled(if (isAdmin) ADMIN_PORTION else CALLERS_PORTION, now, requester) { (it.port == CallerPort.ADMIN) == isAdmin }
    }

    /** Records that connections which were marked as being closed are not closed after all. */
    fun restoreCandidates(): Unit = noneStalledBefore.fill(Moment.DISTANT_PAST)

    /** Returns the heaviest of the connections in [scope] that have stalled, other than [requester]. */
    private inline fun heaviestStalled(
        scope: Int,
        now: Moment,
        requester: HeldConnection? = null,
        isInScope: (HeldConnection) -> Boolean,
    ): HeldConnection? {
        if (now < noneStalledBefore[scope]) return null
        // One that changes its phase or progresses from now on stalls later than this.
        var earliest = now + limits.evictionStall
        val heaviest =
            heaviest(now) {
                if (!isInScope(it) || !isReplaceable(it)) return@heaviest false
                val stallsAt = it.progressedAt + stallOf(it)
                earliest = minOf(earliest, stallsAt)
                it !== requester && stallsAt <= now
            }
        if (heaviest == null) noneStalledBefore[scope] = earliest
        return heaviest
    }

    /** Returns the candidate that has held the most for the longest without progress. */
    private inline fun heaviest(
        now: Moment,
        isCandidate: (HeldConnection) -> Boolean,
    ): HeldConnection? {
        var chosen: HeldConnection? = null
        var highest = -1.0
        for (connection in connections) {
            if (connection.isClosing || !isCandidate(connection)) continue
            val burden = burden(connection, now)
            if (burden > highest) {
                highest = burden
                chosen = connection
            }
        }
        return chosen
    }

    /** Returns the bytes that [connection] holds times the time without progress; connections that never sent a request count for more. */
    private fun burden(
        connection: HeldConnection,
        now: Moment,
    ): Double {
        val stalled = (now - connection.progressedAt).inWholeMilliseconds.coerceAtLeast(0) + 1
        val isUnused = !connection.isProven || connection.phase != CallerPhase.IDLE
        return (connection.heldBytes + connection.unreadBytes).toDouble() * stalled * (if (isUnused) UNUSED_WEIGHT else 1)
    }

    /** Returns after what time without progress [connection] has stalled; a reader that was steady at a slower pace has more for its next step. */
    private fun stallOf(connection: HeldConnection): Duration {
        val isSending = connection.phase == CallerPhase.SENDING
        return if (isSending) maxOf(limits.evictionStall, readAllowance(connection)) else limits.evictionStall
    }

    /**
     * Returns the time for the next step of the reader at [connection].
     *
     * The bytes of its last step limit it, since a reader could otherwise wait longer each time and take hardly anything.
     */
    private fun readAllowance(connection: HeldConnection): Duration {
        val atMinimumRate = limits.progressWindow * (connection.readStepBytes.toDouble() / limits.progressBytes)
        return minOf(connection.readPause * PAUSES_ALLOWED, atMinimumRate * STEPS_ALLOWED)
    }

    private fun isReplaceable(connection: HeldConnection): Boolean = connection.phase != CallerPhase.ADMITTED && !connection.isProvenNode

    private companion object {
        /** The scopes in which stalled connections are selected: the addresses by their ordinal, and the two portions of the memory. */
        val CALLERS_PORTION = CallerPort.entries.size
        val ADMIN_PORTION = CALLERS_PORTION + 1
        val SCOPES = ADMIN_PORTION + 1

        /** Two steps for the same pace, and twice that for one that varies. */
        const val PAUSES_ALLOWED = 4

        /** A reader at the minimum rate needs the time of one step; another covers a rate that varies. */
        const val STEPS_ALLOWED = 2

        /** A connection kept open between requests is worth more than one that has not brought a request. */
        const val UNUSED_WEIGHT = 8
    }
}
