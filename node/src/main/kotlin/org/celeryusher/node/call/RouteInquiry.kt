package org.celeryusher.node.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.routing.RouteInspection
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.http.HeaderField
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState

/** What a node knows at [now] about the way of a request that is not sent. */
internal class RouteFindings(
    val now: Moment,
    val version: Long,
    val inspection: RouteInspection,
    /** The verdict about the request without a body. */
    val verdict: CrashVerdict,
    val quarantinedRequests: Int,
    /** The repeats that the guard of this node may still charge. */
    val retryBudgetLeft: Double,
)

/** Says where a request would go, from the state that calls are routed by. Reads only: no call is counted and nothing is logged. */
internal class RouteInquiry(
    private val routing: RoutingState,
    private val selection: EndpointSelection,
    private val crashes: CrashRegistry,
    private val retries: RetryAccount,
    private val clock: ProcessClock,
) {
    /** Returns the findings about a request of [method] for [target] (path and query) at [host], or why it would be refused unrouted. */
    fun find(
        method: String,
        host: String,
        target: String,
    ): Either<CallResult.Failed, RouteFindings> {
        val now = clock.now()
        val request = CallRequest(method, target, emptyList<HeaderField>(), ByteArray(0), now, host)
        RequestTarget.faultOf(target)?.let { return CallResult.Failed(ErrorKind.BAD_REQUEST, it).left() }
        val table = routing.current.table ?: return CallResult.Failed(ErrorKind.NO_CONFIGURATION).left()
        val route =
            table.match(method, request.path, request.hostName)
                ?: return CallResult.Failed(ErrorKind.NO_ROUTE, "no route matches $method $host${request.path}").left()
        return RouteFindings(
            now,
            table.digest.version,
            selection.inspect(route, now),
            crashes.verdict(RequestFingerprint.of(method, target, request.body), now),
            crashes.quarantinedCount(now),
            retries.available(now),
        ).right()
    }
}
