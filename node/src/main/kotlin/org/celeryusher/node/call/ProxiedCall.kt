package org.celeryusher.node.call

import org.celeryusher.kernel.admission.CallOrigin
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.execution.CallProgress
import org.celeryusher.kernel.execution.DeadlineBudget
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.routing.ResolvedRoute
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.http.HeaderField
import org.celeryusher.node.http.value
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A call from a caller, with the route that it matched. */
internal class ProxiedCall(
    val route: ResolvedRoute,
    val request: CallRequest,
    val deadline: DeadlineBudget,
    val fingerprint: RequestFingerprint,
    val ticket: String? = null,
    val ticketProcessStart: Long? = null,
    /** How long the caller had already waited when this call arrived, counted from its first try. */
    private val elapsedSinceFirstTry: Duration = Duration.ZERO,
    val origin: CallOrigin = CallOrigin.NEW,
    /** Whether a run at the server beside this node likely made this call, also if [origin] gives it no precedence. */
    val isOfRun: Boolean = false,
) {
    /** The time until which a response meets the target latency of the route. */
    val targetDeadline: Moment get() = request.arrived + route.settings.targetLatencyMilliseconds.milliseconds - elapsedSinceFirstTry

    /** The request, marked as a retry so that no downstream node retries it again. */
    val markedAsRetry: CallRequest by lazy {
        val marked = request.headers.filterNot { it.name.equals(CeleryusherHeaders.RETRY, ignoreCase = true) } + RETRY_MARK
        CallRequest(request.method, request.target, marked, request.body, request.arrived, request.host)
    }

    /** Returns the message for one [attempt] of this call at [endpoint], with [sent] as the request. */
    fun outgoing(
        sent: CallRequest,
        attempt: AttemptId,
        endpoint: Member,
        oneWayLatency: Duration,
        suspected: Boolean,
        kind: AttemptKind,
        callsPerSecond: Double?,
        isLarge: Boolean,
    ): OutgoingCall =
        OutgoingCall(
            attempt = attempt,
            route = route.declaration.name,
            rankPosition = route.rankPosition,
            idempotent = route.declaration.idempotent,
            request = sent,
            deadline = deadline,
            oneWayLatency = oneWayLatency,
            ticket = ticket,
            ticketProcessStart = ticketProcessStart,
            suspected = suspected,
            server = endpoint.instance,
            targetDeadline = targetDeadline,
            callsPerSecond = callsPerSecond,
            kind = kind,
            origin = origin,
            isLarge = isLarge,
        )

    /** Returns the inputs of the retry decision after attempts at the instances in [tried], the last of which ended with [reply]. */
    fun progress(
        tried: Set<InstanceName>,
        attempts: Int,
        admissionChecks: Int,
        budgetRefusals: Int,
        reply: GuardReply,
        maximumAdmissionChecks: Int,
    ): CallProgress =
        CallProgress(
            idempotent = route.declaration.idempotent,
            attempts = attempts,
            maximumAttempts = route.settings.maximumAttempts,
            admissionChecks = admissionChecks,
            maximumAdmissionChecks = maximumAdmissionChecks,
            budgetRefusals = budgetRefusals,
            arrivedAt = request.arrived,
            deadline = deadline,
            untriedEndpoints = route.endpoints.count { it.instance !in tried },
            requestIsRetry = request.header(CeleryusherHeaders.RETRY) != null,
            answerIsRetried = (reply.result as? CallResult.Answered)?.headers?.value(CeleryusherHeaders.RETRIED) != null,
        )

    private companion object {
        val RETRY_MARK = HeaderField(CeleryusherHeaders.RETRY, "true")
    }
}
