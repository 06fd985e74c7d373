package org.celeryusher.node.call

import kotlinx.coroutines.CancellationException
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.node.runtime.ProcessClock

/** Sends single attempts to the guard of this node or of another node, and records their results in [EndpointSelection]. */
internal class AttemptDispatcher(
    private val ownFrameAddress: Address,
    private val guard: Guard,
    private val frames: FrameClient,
    private val selection: EndpointSelection,
    private val clock: ProcessClock,
    private val log: CallLog,
) {
    /** Returns whether [endpoint] is the instance of this node. */
    fun isLocal(endpoint: Member): Boolean = endpoint.frameAddress == ownFrameAddress

    /**
     * Runs one [attempt] of [call] at [endpoint] and returns the reply of its guard.
     *
     * [request] is sent in place of the request of [call], since a retry is marked as such.
     */
    suspend fun dispatch(
        endpoint: Member,
        attempt: AttemptId,
        call: ProxiedCall,
        request: CallRequest,
        suspected: Boolean,
        kind: AttemptKind = AttemptKind.FIRST,
    ): GuardReply {
        val sentAt = clock.now()
        try {
            val callsPerSecond = selection.callsPerSecondOf(endpoint.instance)
            val oneWayLatency = selection.oneWayLatencyTo(endpoint)
            val isLarge = selection.isLarge(call.route)
            val outgoing = call.outgoing(request, attempt, endpoint, oneWayLatency, suspected, kind, callsPerSecond, isLarge)
            val reply = if (isLocal(endpoint)) runLocally(outgoing) else frames.run(endpoint.frameAddress, outgoing)
            val now = clock.now()
            selection.recordReply(call.route, endpoint.instance, request.body.size, reply, now - sentAt, now)
            if (reply.result is CallResult.Failed) log.attemptFailed(attempt, endpoint, reply.result, now - sentAt)
            return reply
        } catch (cancelled: CancellationException) {
            selection.recordAbandoned(endpoint.instance, clock.now())
            throw cancelled
        }
    }

    /** Requests a ticket for [route] from the guard of [endpoint]. */
    suspend fun requestTicketFrom(
        endpoint: Member,
        route: RouteName,
    ): TicketReply =
        if (isLocal(endpoint)) {
            guard.issueTicket(route).fold(
                { TicketReply.Refused(it) },
                { TicketReply.Issued(it.encode(), (it.expiresAt - it.issuedAt).inWholeMilliseconds) },
            )
        } else {
            frames.requestTicket(endpoint.frameAddress, route)
        }

    private suspend fun runLocally(call: OutgoingCall): GuardReply =
        guard.run(
            GuardCall(
                guard.referenceTo(call.attempt, call.deadline.deadline),
                call.route,
                call.rankPosition,
                call.idempotent,
                call.request,
                call.ticket,
                call.suspected,
                call.server,
                call.targetDeadline.takeIf { it > clock.now() },
                call.callsPerSecond,
                call.kind,
                call.origin,
            ),
        )
}
