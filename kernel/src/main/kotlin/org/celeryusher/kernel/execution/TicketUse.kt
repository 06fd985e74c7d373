package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind

/** The decision of a ticket's owner about a request with the ticket. */
public sealed interface TicketUse {
    /** This is the first request. The owner runs its work now and records the outcome with [TicketRegistry.finish]. */
    public data object Run : TicketUse

    /** The work is running for another request. The owner waits for its answer or answers [ErrorKind.TICKET_IN_PROGRESS]. */
    public data object InProgress : TicketUse

    /** The work has ended. The owner answers [record]. */
    public data class Recorded(
        public val record: TicketRecord,
    ) : TicketUse

    /** The request never runs with this ticket. The owner answers [kind]. */
    public data class Refused(
        public val kind: ErrorKind,
    ) : TicketUse
}

/**
 * The recorded outcome of the work of a ticket.
 *
 * [answer] is the backend server's complete answer, or null if there was none or it exceeded a size limit of [TicketLimits].
 */
public class TicketRecord(
    public val outcome: Outcome,
    public val answer: ByteArray?,
) {
    override fun toString(): String = "TicketRecord($outcome, ${answer?.size ?: 0} bytes)"
}
