package org.celeryusher.node.call

import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.distribution.ConfigurationRecency
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.routing.EndpointChoice
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration

/** Logs the decisions of the proxy about each call, so that it can be traced; docs/OPERATIONS.md explains how. */
internal class CallLog(
    private val decisions: DecisionLog,
    private val headers: CallHeaders,
    private val clock: ProcessClock,
) {
    /** Logs which backend server was chosen for [attempt], the [number]th one of [call]. */
    fun endpointChosen(
        call: ProxiedCall,
        attempt: AttemptId,
        choice: EndpointChoice.Chosen,
        number: Int,
    ) {
        decisions.record(
            "routing",
            choice.endpoint.instance.value,
            choice.reason.name,
            "route" to call.route.declaration.name,
            "id" to headers.attemptOf(call.request.headers),
            "attempt" to attempt,
            "try" to number,
            "cost" to choice.cost,
            "passedOver" to choice.passedOver.size,
            "ejected" to choice.ejected,
        )
    }

    /** Logs why [attempt] failed. */
    fun attemptFailed(
        attempt: AttemptId,
        endpoint: Member,
        failure: CallResult.Failed,
        took: Duration,
    ) {
        decisions.record(
            "routing",
            "ended",
            failure.kind.name,
            "attempt" to attempt,
            "server" to endpoint.instance,
            "took" to took,
            "detail" to failure.detail,
        )
    }

    /** Logs the result that the caller received, the version of the configuration in force [inForce], and how recent it is if that decided. */
    fun callAnswered(
        request: CallRequest,
        result: CallResult,
        route: RouteName?,
        inForce: ConfigurationSnapshot?,
        recency: ConfigurationRecency? = null,
    ) {
        val failure = result as? CallResult.Failed
        decisions.record(
            "call",
            "answered",
            failure?.kind?.name ?: "ANSWERED",
            "id" to headers.attemptOf(request.headers),
            "route" to route,
            "target" to "${request.method} ${request.host}${request.path}",
            "status" to ((result as? CallResult.Answered)?.status ?: failure?.kind?.httpStatus),
            "took" to clock.now() - request.arrived,
            "asked" to request.header(headers.deadline),
            "retryAfter" to failure?.retryAfter,
            "version" to inForce?.digest?.version,
            *recency?.let { arrayOf("recency" to it) }.orEmpty(),
        )
    }
}
