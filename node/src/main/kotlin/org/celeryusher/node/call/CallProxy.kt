package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.routing.HeldRoute
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.RoutingState
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Routes a caller's request to a backend server that can answer it. */
internal class CallProxy(
    private val ownInstance: InstanceName,
    private val routing: RoutingState,
    private val guard: Guard,
    private val frames: FrameClient,
    private val random: Random,
) {
    /** Routes and runs [request]. */
    suspend fun run(request: CallRequest): CallResult {
        val table = routing.current.table ?: return CallResult.Failed(ErrorKind.NO_CONFIGURATION)
        return when (val route = table.match(request.method, request.path)) {
            null -> CallResult.Failed(ErrorKind.NO_ROUTE, "${request.method} ${request.path}")
            is HeldRoute -> CallResult.Failed(ErrorKind.NO_ENDPOINT, route.declaration.service.value)
            is ResolvedRoute -> runOn(route, request)
        }
    }

    private suspend fun runOn(
        route: ResolvedRoute,
        request: CallRequest,
    ): CallResult {
        val deadline = deadlineOf(route, request) ?: return CallResult.Failed(ErrorKind.BAD_REQUEST, badDeadline(request))
        val endpoint = route.endpoints[random.nextInt(route.endpoints.size)]
        val call =
            GuardCall(
                attempt = UUID.randomUUID().toString(),
                route = route.declaration.name,
                rankPosition = route.rankPosition,
                request = request,
                deadline = deadline,
                incarnationStart = endpoint.incarnation?.start,
                ticket = request.header(CeleryusherHeaders.TICKET),
            )
        DecisionLog.decision(
            "routing",
            endpoint.instance.value,
            "random choice",
            "route" to route.declaration.name,
            "attempt" to call.attempt,
            "candidates" to route.endpoints.size,
        )
        return place(endpoint, call)
    }

    private suspend fun place(
        endpoint: Member,
        call: GuardCall,
    ): CallResult = if (endpoint.instance == ownInstance) guard.run(call) else frames.run(endpoint.frameAddress, call)

    private fun deadlineOf(
        route: ResolvedRoute,
        request: CallRequest,
    ): Moment? {
        val ofRoute = route.settings.deadlineMilliseconds
        val asked = request.header(CeleryusherHeaders.DEADLINE) ?: return request.arrived + ofRoute.milliseconds
        val milliseconds = asked.toLongOrNull()?.takeIf { it >= 0 } ?: return null
        return request.arrived + minOf(milliseconds, ofRoute).milliseconds
    }

    private fun badDeadline(request: CallRequest): String =
        "${CeleryusherHeaders.DEADLINE}: \"${request.header(CeleryusherHeaders.DEADLINE)}\" is not a whole number of milliseconds"
}
