package org.celeryusher.kernel.error

import org.celeryusher.kernel.error.Resend.IF_IDEMPOTENT
import org.celeryusher.kernel.error.Resend.LATER
import org.celeryusher.kernel.error.Resend.NEVER
import org.celeryusher.kernel.error.Resend.NOW
import org.celeryusher.kernel.error.RunStatus.NOT_RUN
import org.celeryusher.kernel.error.RunStatus.RAN
import org.celeryusher.kernel.error.RunStatus.UNKNOWN

/**
 * The complete set of errors that a node can answer, each with the contents of its answer.
 *
 * [httpStatus] is the status of an HTTP answer, [runStatus] states whether the work ran, [resend] states whether the caller may send
 * the work again, and [meaning] is the sentence in the answer and in docs/errors.md.
 */
public enum class ErrorKind(
    public val httpStatus: Int,
    public val runStatus: RunStatus,
    public val resend: Resend,
    public val meaning: String,
) {
    BAD_REQUEST(400, NOT_RUN, NEVER, "The request could not be understood."),
    REQUEST_TOO_LARGE(413, NOT_RUN, NEVER, "The request body is larger than this node's limit."),
    REQUEST_TIMEOUT(408, NOT_RUN, NOW, "The request did not arrive whole in time."),
    NO_ROUTE(404, NOT_RUN, NEVER, "No route of the configuration in force matches the method and path."),
    TICKET_INVALID(400, NOT_RUN, NEVER, "The ticket is malformed, or was issued for another route."),
    TICKET_REQUIRED(428, NOT_RUN, NEVER, "Work with an idempotency key on this route needs a ticket issued by a node."),
    TICKET_REUSED(422, NOT_RUN, NEVER, "The ticket was already used for a request with other content."),
    TICKET_IN_PROGRESS(409, UNKNOWN, LATER, "The work of this ticket is still running; ask again with the same ticket."),
    TICKET_OWNER_GONE(410, UNKNOWN, IF_IDEMPOTENT, "The instance that owns the ticket is gone or was restarted; its work may have run."),
    TICKET_OWNER_UNREACHABLE(
        503,
        UNKNOWN,
        IF_IDEMPOTENT,
        "The instance that owns the ticket cannot be reached; ask again with the same ticket.",
    ),
    TICKET_EXPIRED(410, NOT_RUN, NOW, "The ticket expired before its work was sent; take a new one."),
    NO_CONFIGURATION(503, NOT_RUN, LATER, "This node holds no accepted configuration yet."),
    CONFIGURATION_OLD(503, NOT_RUN, LATER, "This node has not confirmed its configuration for too long to decide by it."),
    NO_ENDPOINT(503, NOT_RUN, LATER, "No live backend server provides the route's service."),
    EVACUATED(503, NOT_RUN, LATER, "The backend servers that may run the work are all in evacuated data centres."),
    REGION_NOT_SERVED(503, NOT_RUN, LATER, "No backend server of the route's service is in a region that the route allows."),
    OVERLOADED(503, NOT_RUN, LATER, "The backend servers are too busy for work of this rank."),
    SERVER_SHED(503, NOT_RUN, LATER, "The backend server refused the work without running it."),
    SERVER_REPLACED(503, NOT_RUN, NOW, "The backend server that the work was sent to is no longer at its address."),
    RETRY_BUDGET_SPENT(503, NOT_RUN, LATER, "The fleet has no retry left for the service, or for one that the work calls."),
    DEADLINE_BEFORE_START(503, NOT_RUN, NOW, "The deadline passed, or would have passed, before the work could start."),
    DEADLINE_WHILE_RUNNING(504, UNKNOWN, IF_IDEMPOTENT, "The deadline passed while the work was running."),
    DRAINING(503, NOT_RUN, NOW, "The backend server is leaving and takes no new work."),
    CANCELLED_BEFORE_START(499, NOT_RUN, NOW, "The caller cancelled before the work started."),
    CANCELLED_WHILE_RUNNING(499, UNKNOWN, IF_IDEMPOTENT, "The caller cancelled while the work was running."),
    CONNECTION_REFUSED(503, NOT_RUN, NOW, "No connection to the backend server or its node could be opened."),
    CONNECTION_LOST(502, UNKNOWN, IF_IDEMPOTENT, "The connection broke while the work may have been running."),
    SERVER_CRASHED(502, UNKNOWN, IF_IDEMPOTENT, "The backend server stopped while the work was running."),
    ANSWER_TORN(502, UNKNOWN, IF_IDEMPOTENT, "The backend server's answer ended early or did not match its length."),
    ANSWER_TOO_LARGE(502, RAN, NEVER, "The backend server's answer is larger than this node's limit."),
    QUARANTINED(429, NOT_RUN, NEVER, "Requests like this one crashed backend servers and are refused for a time."),
    NODE_STOPPING(503, NOT_RUN, NOW, "This node is stopping and takes no new calls."),
    INTERNAL(500, UNKNOWN, IF_IDEMPOTENT, "The node failed in a way that it does not know."),
    MESSAGE_MALFORMED(400, NOT_RUN, NEVER, "A message between nodes could not be decoded."),
    MESSAGE_UNAUTHENTICATED(401, NOT_RUN, NEVER, "A message between nodes carried a wrong, missing or aged signature."),
    DOCUMENT_REFUSED(422, NOT_RUN, NEVER, "The configuration document has faults and was refused whole."),
}
