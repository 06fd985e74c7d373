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

/** The bounds of an owner's memory of tickets. */
public data class TicketLimits(
    public val maximumTickets: Int = 16_384,
    /** How long after its issue a ticket's work may be sent for the first time. */
    public val validity: Duration = 1.minutes,
    /** How long after its expiry, and after its end, the outcome of a ticket's work can be asked for. */
    public val retention: Duration = 10.minutes,
    /** An answer larger than this is not kept, only its status. */
    public val maximumAnswerBytes: Int = 16_384,
    /** All kept answers together. */
    public val maximumAnswerBytesInAll: Long = 4_194_304,
)

/**
 * The memory of a ticket owner: which tickets this life of the process issued, and what became of their work.
 *
 * A ticket is bound to the content of the first request that is sent with it. Its work starts once at most; whatever is answered for it
 * then, "not run" included, is final: a late copy of an earlier request gets the same answer and never runs. To try again after
 * "not run" a caller takes a new ticket. The attempts that the owner itself makes while the work is in progress may be several, each
 * after the one before is proven not to have run.
 *
 * Nothing is forgotten before its time; when full, the registry refuses to issue. Not safe for use by several threads.
 */
public class TicketRegistry(
    private val owner: InstanceName,
    private val life: Long,
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
    private val byForgetting = PriorityQueue<Pair<Uptime, TicketId>>(compareBy { it.first })
    private var answerBytes = 0L

    /** The number of tickets that are remembered. */
    public val size: Int get() = entries.size

    /** Issues a ticket for [route], or refuses because the memory is full. */
    public fun issue(
        route: RouteName,
        now: Uptime,
        random: Random,
    ): Either<ErrorKind, Ticket> {
        forgetOld(now)
        if (entries.size >= limits.maximumTickets) return ErrorKind.OVERLOADED.left()
        val ticket = Ticket(owner, life, TicketId.random(random), route, now, now + limits.validity)
        entries[ticket.id] = Entry(ticket, State.Issued)
        byForgetting += ticket.expiresAt to ticket.id
        return ticket.right()
    }

    /** Decides about a request with [ticket] that arrives at [now] on [route]. */
    public fun use(
        ticket: Ticket,
        route: RouteName,
        fingerprint: RequestFingerprint,
        now: Uptime,
    ): TicketUse {
        forgetOld(now)
        if (ticket.owner != owner || ticket.life != life) return TicketUse.Refused(ErrorKind.TICKET_OWNER_GONE)
        val entry = entries[ticket.id] ?: return TicketUse.Refused(absent(ticket, now))
        return when (val state = entry.state) {
            State.Issued -> firstUse(entry, route, fingerprint, now)
            is State.InProgress -> if (state.fingerprint == fingerprint) TicketUse.InProgress else reused
            is State.Ended -> if (state.fingerprint == fingerprint) TicketUse.Recorded(state.record) else reused
        }
    }

    /**
     * Records how the work of the ticket [id] ended, with the backend server's whole [answer] if there is one.
     *
     * Call it once no further attempt of the work is made. A recorded "unknown" may be replaced once, when the guard has answered what became
     * of the attempt; any other second call is ignored, because the first outcome may have been answered already.
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

    /** An absent ticket was never sent while it would still be remembered if it had been; after that nobody knows. */
    private fun absent(
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
        byForgetting += (maxOf(now, entry.ticket.expiresAt) + limits.retention) to entry.ticket.id
    }

    private fun recordOf(
        outcome: Outcome,
        answer: ByteArray?,
    ): TicketRecord {
        val kept = answer?.takeIf { outcome is Outcome.Ran && hasRoomFor(it.size) }
        answerBytes += kept?.size ?: 0
        return TicketRecord(outcome, kept)
    }

    private fun hasRoomFor(size: Int): Boolean = size <= limits.maximumAnswerBytes && answerBytes + size <= limits.maximumAnswerBytesInAll

    private fun forgetOld(now: Uptime) {
        while (true) {
            val (due, id) = byForgetting.peek() ?: return
            if (due > now) return
            byForgetting.poll()
            entries[id]?.let { forgetUnlessNeeded(it, now) }
        }
    }

    private fun forgetUnlessNeeded(
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
