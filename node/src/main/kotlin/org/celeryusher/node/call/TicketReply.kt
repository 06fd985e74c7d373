package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind

/** The reply to a ticket request. */
internal sealed interface TicketReply {
    /** The encoded [ticket], which is valid for [validMilliseconds]. */
    data class Issued(
        val ticket: String,
        val validMilliseconds: Long,
    ) : TicketReply

    /** No ticket was issued, because of [kind]. */
    data class Refused(
        val kind: ErrorKind,
    ) : TicketReply
}
