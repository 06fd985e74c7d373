package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.DeadlineBudget
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.Ticket
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.routing.EndpointChoice
import org.celeryusher.kernel.routing.HeldRoute
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Requests tickets from guards, and sends a call with a ticket only to the guard that issued it. */
internal class TicketRouter(
    private val routing: RoutingState,
    private val dispatcher: AttemptDispatcher,
    private val selection: EndpointSelection,
    private val clock: ProcessClock,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    /** Requests a ticket for the route of [method] and [path], from up to [TICKET_ATTEMPTS] guards. */
    suspend fun requestTicket(
        method: String,
        path: String,
    ): TicketReply {
        val route = routing.current.table?.match(method, path) ?: return TicketReply.Refused(ErrorKind.NO_ROUTE)
        if (route is HeldRoute) return TicketReply.Refused(route.cause.error)
        if (route !is ResolvedRoute) return TicketReply.Refused(ErrorKind.NO_ENDPOINT)
        val tried = mutableSetOf<InstanceName>()
        var reply: TicketReply = TicketReply.Refused(ErrorKind.NO_ENDPOINT)
        repeat(TICKET_ATTEMPTS) {
            val choice = selection.choose(route, tried, clock.now()) as? EndpointChoice.Chosen ?: return reply
            val endpoint = choice.endpoint
            tried += endpoint.instance
            selection.recordAbandoned(endpoint.instance, clock.now())
            reply = dispatcher.requestTicketFrom(endpoint, route.declaration.name)
            if (reply is TicketReply.Issued) return reply
        }
        return reply
    }

    /** Runs [request] with the ticket encoded in [text] on the guard that owns it. */
    suspend fun run(
        route: ResolvedRoute,
        request: CallRequest,
        deadline: DeadlineBudget,
        text: String,
    ): CallResult {
        val ticket = Ticket.decode(text).fold({ return CallResult.Failed(it) }, { it })
        val current = routing.current
        val owner = current.view[ticket.owner] ?: return CallResult.Failed(ErrorKind.TICKET_OWNER_GONE, ticket.owner.value)
        // The work of the ticket may have run there before, so the refusal must not state that it has not.
        if (current.table?.mayReach(route.declaration, owner) != true) {
            return CallResult.Failed(
                ErrorKind.TICKET_OWNER_UNREACHABLE,
                "${ticket.owner}: its data centre must not be reached",
                UNREACHABLE_RETRY_AFTER,
            )
        }
        val attempt = AttemptId.random(random)
        decisions.record(
            "routing",
            owner.instance.value,
            "owner of the ticket",
            "route" to route.declaration.name,
            "attempt" to attempt,
        )
        selection.recordSentToTicketOwner(owner.instance)
        val call =
            ProxiedCall(
                route,
                request,
                deadline,
                RequestFingerprint.of(request.method, request.target, request.body),
                text,
                ticket.processStart,
            )
        val result = dispatcher.dispatch(owner, attempt, call, request, suspected = false).result
        val neverSent = result is CallResult.Failed && result.kind == ErrorKind.CONNECTION_REFUSED
        return if (neverSent && !dispatcher.isLocal(owner)) {
            CallResult.Failed(ErrorKind.TICKET_OWNER_UNREACHABLE, ticket.owner.value)
        } else {
            result
        }
    }

    private companion object {
        const val TICKET_ATTEMPTS = 3
        val UNREACHABLE_RETRY_AFTER = 1.seconds
    }
}
