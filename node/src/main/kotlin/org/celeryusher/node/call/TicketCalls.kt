package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.DeadlineBudget
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.Ticket
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.routing.EndpointChoice
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import kotlin.random.Random

/** Has guards issue tickets, and sends work under a ticket to the guard that owns it and to no other. */
internal class TicketCalls(
    private val routing: RoutingState,
    private val placement: CallPlacement,
    private val selection: EndpointSelection,
    private val clock: ProcessClock,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    /** Has a guard issue a ticket for the route of [method] and [path]. */
    suspend fun request(
        method: String,
        path: String,
    ): TicketReply {
        val route = routing.current.table?.match(method, path) ?: return TicketReply.Refused(ErrorKind.NO_ROUTE)
        if (route !is ResolvedRoute) return TicketReply.Refused(ErrorKind.NO_ENDPOINT)
        val tried = mutableSetOf<InstanceName>()
        var reply: TicketReply = TicketReply.Refused(ErrorKind.NO_ENDPOINT)
        repeat(TICKET_ATTEMPTS) {
            val choice = selection.choose(route, tried, clock.now()) as? EndpointChoice.Chosen ?: return reply
            val endpoint = choice.endpoint
            tried += endpoint.instance
            selection.abandoned(endpoint.instance, clock.now())
            reply = placement.ticketFrom(endpoint, route.declaration.name)
            if (reply is TicketReply.Issued) return reply
        }
        return reply
    }

    /** Runs [request] under the ticket [text]. */
    suspend fun run(
        route: ResolvedRoute,
        request: CallRequest,
        deadline: DeadlineBudget,
        text: String,
    ): CallResult {
        val ticket = Ticket.decode(text).fold({ return CallResult.Failed(it) }, { it })
        val owner = routing.current.view[ticket.owner] ?: return CallResult.Failed(ErrorKind.TICKET_OWNER_GONE, ticket.owner.value)
        val attempt = AttemptId.random(random)
        decisions.decision(
            "routing",
            owner.instance.value,
            "owner of the ticket",
            "route" to route.declaration.name,
            "attempt" to attempt,
        )
        selection.sentToOwner(owner.instance)
        val call =
            ProxiedCall(
                route,
                request,
                deadline,
                RequestFingerprint.of(request.method, request.target, request.body),
                text,
                ticket.processStart,
            )
        val result = placement.place(owner, attempt, call, request, suspected = false).result
        val neverSent = result is CallResult.Failed && result.kind == ErrorKind.CONNECTION_REFUSED
        return if (neverSent && !placement.isOwn(owner)) {
            CallResult.Failed(ErrorKind.TICKET_OWNER_UNREACHABLE, ticket.owner.value)
        } else {
            result
        }
    }

    private companion object {
        const val TICKET_ATTEMPTS = 3
    }
}
