package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind

/** What the owner of a ticket does with a request that carries it. */
public sealed interface TicketUse {
    /** The first request: run its work now, and tell the registry how it ended. */
    public data object Run : TicketUse

    /** The work is running for another request with the ticket: wait for its answer, or answer [ErrorKind.TICKET_IN_PROGRESS]. */
    public data object InProgress : TicketUse

    /** The work has ended: answer what is recorded. */
    public data class Recorded(
        public val record: TicketRecord,
    ) : TicketUse

    /** This request never runs under this ticket. */
    public data class Refused(
        public val kind: ErrorKind,
    ) : TicketUse
}

/** How the work of a ticket ended. [answer] is the backend server's whole answer, or null when there was none or it was too large to keep. */
public class TicketRecord(
    public val outcome: Outcome,
    public val answer: ByteArray?,
) {
    override fun toString(): String = "TicketRecord($outcome, ${answer?.size ?: 0} bytes)"
}
