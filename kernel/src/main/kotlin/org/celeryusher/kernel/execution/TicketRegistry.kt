package org.celeryusher.kernel.execution

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Limits on the number, lifetime and stored answers of the tickets that an owner issues. */
public data class TicketLimits(
    public val maximumTickets: Int = 16_384,
    /** How long after the issue of a ticket its work may be sent for the first time. */
    public val validity: Duration = 1.minutes,
    /** How long the outcome of a ticket's work is available after the ticket's expiry or the end of the work, whichever is later. */
    public val retention: Duration = 10.minutes,
    /** Maximum size of a stored answer. Of a larger answer only the status is stored. */
    public val maximumAnswerBytes: Int = 16_384,
    /** Maximum size of all stored answers together. */
    public val maximumTotalAnswerBytes: Long = 4_194_304,
)

/**
 * Tracks the tickets that this process has issued and the outcomes of their work.
 *
 * A ticket is bound to the content of the first request that is sent with it. Its work starts at most once. The outcome that is answered
 * then is final, including "not run": a late copy of an earlier request gets the same answer and never runs. To retry after "not run", a
 * caller requests a new ticket. While the work is in progress, the owner itself may make several attempts, each of them after the previous
 * one provably did not run.
 *
 * No entry is evicted early. When the registry is full, it refuses to issue tickets. This class is not thread-safe.
 */
public class TicketRegistry(
    private val owner: InstanceName,
    private val processStart: Long,
    private val limits: TicketLimits = TicketLimits(),
) {
    private sealed interface State {
        data object Issued : State

        data class InProgress(
            val fingerprint: RequestFingerprint,
        ) : State

        data class Ended(
            val fingerprint: RequestFingerprint,
            val record: TicketRecord,
        ) : State
    }

    private class Entry(
        val ticket: Ticket,
        var state: State,
    )

    private val entries = HashMap<TicketId, Entry>()
    private val evictionQueue = PriorityQueue<Pair<Uptime, TicketId>>(compareBy { it.first })
    private var answerBytes = 0L

    /** The number of tracked tickets. */
    public val size: Int get() = entries.size

    /** Returns a new ticket for [route], or [ErrorKind.OVERLOADED] if the registry is full. */
    public fun issue(
        route: RouteName,
        now: Uptime,
        random: Random,
    ): Either<ErrorKind, Ticket> {
        evictExpired(now)
        if (entries.size >= limits.maximumTickets) return ErrorKind.OVERLOADED.left()
        val ticket = Ticket(owner, processStart, TicketId.random(random), route, now, now + limits.validity)
        entries[ticket.id] = Entry(ticket, State.Issued)
        evictionQueue += ticket.expiresAt to ticket.id
        return ticket.right()
    }

    /** Decides what to do with a request with [ticket] that arrives at [now] on [route]. */
    public fun use(
        ticket: Ticket,
        route: RouteName,
        fingerprint: RequestFingerprint,
        now: Uptime,
    ): TicketUse {
        evictExpired(now)
        if (ticket.owner != owner || ticket.processStart != processStart) return TicketUse.Refused(ErrorKind.TICKET_OWNER_GONE)
        val entry = entries[ticket.id] ?: return TicketUse.Refused(errorWithoutEntry(ticket, now))
        return when (val state = entry.state) {
            State.Issued -> firstUse(entry, route, fingerprint, now)
            is State.InProgress -> if (state.fingerprint == fingerprint) TicketUse.InProgress else reused
            is State.Ended -> if (state.fingerprint == fingerprint) TicketUse.Recorded(state.record) else reused
        }
    }

    /**
     * Records the [outcome] of the work of the ticket [id], with the backend server's complete [answer] if there is one.
     *
     * Call it only when no further attempt of the work follows. A recorded "unknown" may be replaced once by a known outcome, when the
     * guard has resolved the attempt. Any other second call is ignored, because the first outcome may have been answered already.
     */
    public fun finish(
        id: TicketId,
        outcome: Outcome,
        answer: ByteArray?,
        now: Uptime,
    ) {
        val entry = entries[id] ?: return
        when (val state = entry.state) {
            State.Issued -> return
            is State.InProgress -> end(entry, state.fingerprint, outcome, answer, now)
            is State.Ended ->
                if (state.record.outcome is Outcome.Unknown && outcome !is Outcome.Unknown) {
                    entry.state = State.Ended(state.fingerprint, recordOf(outcome, answer))
                }
        }
    }

    private fun firstUse(
        entry: Entry,
        route: RouteName,
        fingerprint: RequestFingerprint,
        now: Uptime,
    ): TicketUse {
        if (entry.ticket.route != route) {
            end(entry, fingerprint, Outcome.NotRun(ErrorKind.TICKET_INVALID), answer = null, now)
            return TicketUse.Refused(ErrorKind.TICKET_INVALID)
        }
        entry.state = State.InProgress(fingerprint)
        return TicketUse.Run
    }

    /** Until `expiresAt` + retention, a ticket without an entry was never used: a used one still has its entry. Later this is unknown. */
    private fun errorWithoutEntry(
        ticket: Ticket,
        now: Uptime,
    ): ErrorKind =
        when {
            now < ticket.expiresAt -> ErrorKind.TICKET_INVALID
            now < ticket.expiresAt + limits.retention -> ErrorKind.TICKET_EXPIRED
            else -> ErrorKind.TICKET_OWNER_GONE
        }

    private fun end(
        entry: Entry,
        fingerprint: RequestFingerprint,
        outcome: Outcome,
        answer: ByteArray?,
        now: Uptime,
    ) {
        entry.state = State.Ended(fingerprint, recordOf(outcome, answer))
        evictionQueue += (maxOf(now, entry.ticket.expiresAt) + limits.retention) to entry.ticket.id
    }

    private fun recordOf(
        outcome: Outcome,
        answer: ByteArray?,
    ): TicketRecord {
        val kept = answer?.takeIf { outcome is Outcome.Ran && hasRoomFor(it.size) }
        answerBytes += kept?.size ?: 0
        return TicketRecord(outcome, kept)
    }

    private fun hasRoomFor(size: Int): Boolean = size <= limits.maximumAnswerBytes && answerBytes + size <= limits.maximumTotalAnswerBytes

    private fun evictExpired(now: Uptime) {
        while (true) {
            val (due, id) = evictionQueue.peek() ?: return
            if (due > now) return
            evictionQueue.poll()
            entries[id]?.let { evictIfDue(it, now) }
        }
    }

    private fun evictIfDue(
        entry: Entry,
        now: Uptime,
    ) {
        when (val state = entry.state) {
            State.Issued -> entries -= entry.ticket.id
            is State.InProgress -> return
            is State.Ended ->
                if (now >= entry.ticket.expiresAt + limits.retention) {
                    answerBytes -= state.record.answer?.size ?: 0
                    entries -= entry.ticket.id
                }
        }
    }

    private companion object {
        private val reused = TicketUse.Refused(ErrorKind.TICKET_REUSED)
    }
}
