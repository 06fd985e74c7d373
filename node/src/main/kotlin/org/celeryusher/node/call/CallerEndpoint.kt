package org.celeryusher.node.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.kernel.error.isRecoverable
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.shutdown.StopSchedule
import org.celeryusher.kernel.time.StallDetector
import org.celeryusher.node.http.HeaderField
import org.celeryusher.node.http.HttpHandler
import org.celeryusher.node.http.HttpRequest
import org.celeryusher.node.http.HttpResponse
import org.celeryusher.node.http.RequestFault
import org.celeryusher.node.http.errorKind
import org.celeryusher.node.http.value
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The HTTP endpoint for callers: passes each request to the proxy and encodes its result as a response. */
internal class CallerEndpoint(
    private val proxy: CallProxy,
    private val tickets: TicketRouter,
    private val clock: ProcessClock,
    private val headers: CallHeaders,
    private val retries: RetryAccount,
    private val ownService: ServiceName,
    private val decisions: DecisionLog,
) : HttpHandler {
    private val stalls = StallDetector(clock.now())
    private val running = AtomicInteger()

    @Volatile
    private var stop: StopSchedule? = null

    /** The number of calls from callers that are in flight. */
    val inFlight: Int get() = running.get()

    /** Refuses the new calls that [schedule] does not accept from now on. Calls in flight continue. */
    fun beginStop(schedule: StopSchedule) {
        stop = schedule
    }

    /** Detects and logs stalls of this process (periods in which it gets no processor time) until cancelled. */
    suspend fun watchStalls() {
        // Without this heartbeat, the time that the node took to start would be reported as a stall.
        recordHeartbeat()
        while (true) {
            delay(StallDetector.HEARTBEAT_INTERVAL)
            val lateness = recordHeartbeat()
            if (lateness.isPositive()) decisions.record("stall", "behind", "too little processor time", "lateness" to lateness)
        }
    }

    private fun recordHeartbeat(): Duration = synchronized(stalls) { stalls.recordHeartbeat(clock.now()) }

    override suspend fun answer(request: HttpRequest): HttpResponse {
        running.incrementAndGet()
        try {
            return if (isRefused(request)) responseOf(CallResult.Failed(ErrorKind.NODE_STOPPING), request) else respondWhileServing(request)
        } catch (error: CancellationException) {
            throw error
        } catch (error: Throwable) {
            if (!error.isRecoverable) throw error
            logger.error(error) { "internal error while handling the call to ${request.target}" }
            return responseOf(CallResult.Failed(ErrorKind.INTERNAL, error.javaClass.simpleName), request)
        } finally {
            running.decrementAndGet()
        }
    }

    override fun recordDisconnected(request: HttpRequest): Unit =
        decisions.record(
            "call",
            "dropped",
            "the caller had closed the connection before the request was read",
            "id" to headers.attemptOf(request.headers),
            "target" to "${request.method} ${request.host}${request.target}",
        )

    override fun respondToFault(
        fault: RequestFault,
        detail: String,
    ): HttpResponse =
        errorResponse(
            CallResult.Failed(
                fault.errorKind,
                detail,
                RETRY_AFTER_REFUSAL.takeIf { fault.errorKind == ErrorKind.OVERLOADED },
            ),
        )

    private fun isRefused(request: HttpRequest): Boolean {
        val schedule = stop ?: return false
        val now = clock.now()
        val deadline =
            request.headers
                .value(headers.deadline)
                ?.toLongOrNull()
                ?.let { now + it.milliseconds }
        return !schedule.accepts(deadline, isOfRunningRequest = deadline != null && retries.mayMakeCall(deadline, now), now)
    }

    private suspend fun respondWhileServing(request: HttpRequest): HttpResponse {
        val arrived = synchronized(stalls) { stalls.earliestArrival(clock.now()) }
        RequestTarget.faultOf(request.target)?.let { return responseOf(CallResult.Failed(ErrorKind.BAD_REQUEST, it), request) }
        if (request.method == "POST" && request.target.substringBefore('?') == TICKET_PATH) return issueTicket(request)
        val forwarded = request.headers.filterNot { ConnectionHeaders.contains(it.name) || headers.isSetByNodes(it.name) }
        val fields = headers.callerService?.let { forwarded + HeaderField(it, ownService.value) } ?: forwarded
        val answer = proxy.run(CallRequest(request.method, request.target, fields, request.body, arrived, request.host))
        return responseOf(answer.result, request, answer.retried)
    }

    private suspend fun issueTicket(request: HttpRequest): HttpResponse {
        val parameters = QueryParameters.parse(request.target.substringAfter('?', missingDelimiterValue = ""))
        val method =
            parameters["method"] ?: return errorResponse(CallResult.Failed(ErrorKind.BAD_REQUEST, "the parameter method is missing"))
        val path = parameters["path"] ?: return errorResponse(CallResult.Failed(ErrorKind.BAD_REQUEST, "the parameter path is missing"))
        return when (val reply = tickets.requestTicket(method, path)) {
            is TicketReply.Issued -> {
                HttpResponse(
                    CREATED,
                    listOf(JSON_CONTENT),
                    Json.encodeToString(TicketAnswer(reply.ticket, reply.validMilliseconds)).encodeToByteArray(),
                )
            }

            is TicketReply.Refused -> {
                errorResponse(CallResult.Failed(reply.kind, "$method $path"))
            }
        }
    }

    private fun responseOf(
        result: CallResult,
        request: HttpRequest,
        retried: Boolean = false,
    ): HttpResponse {
        val extraFields = if (retried) listOf(HeaderField(CeleryusherHeaders.RETRIED, "true")) else emptyList()
        return when (result) {
            is CallResult.Answered -> {
                val own = HeaderField(CeleryusherHeaders.RUN_STATUS, RunStatus.RAN.headerValue)
                val fields = result.headers.filterNot { it.name.equals(CeleryusherHeaders.RETRIED, ignoreCase = true) }
                HttpResponse(result.status, fields + own + extraFields, result.body)
            }

            is CallResult.Failed -> {
                errorResponse(result, extraFields + listOfNotNull(attemptField(request)))
            }
        }
    }

    private fun attemptField(request: HttpRequest): HeaderField? =
        headers.attempt?.let { name -> request.headers.value(name)?.let { HeaderField(name, it) } }

    private fun errorResponse(
        result: CallResult.Failed,
        extraFields: List<HeaderField> = emptyList(),
    ): HttpResponse {
        val kind = result.kind
        val fields =
            extraFields +
                listOfNotNull(
                    HeaderField(CeleryusherHeaders.RUN_STATUS, kind.runStatus.headerValue),
                    HeaderField(CeleryusherHeaders.ERROR, kind.name),
                    result.retryAfter?.let { HeaderField("Retry-After", headers.retryAfter(it)) },
                    JSON_CONTENT,
                )
        val body = Json.encodeToString(ErrorAnswer(kind.name, kind.meaning, result.detail, kind.runStatus.headerValue, kind.resend.name))
        return HttpResponse(kind.httpStatus, fields, body.encodeToByteArray())
    }

    private companion object {
        const val TICKET_PATH = "/-/tickets"
        const val CREATED = 201

        /** About the time in which large requests end and release their memory, and in which pipelined requests of others end. */
        val RETRY_AFTER_REFUSAL = 500.milliseconds
        val JSON_CONTENT = HeaderField("Content-Type", "application/json")
        val logger = KotlinLogging.logger {}
    }
}

/** The JSON body of the response to a ticket request. */
@Serializable
internal data class TicketAnswer(
    val ticket: String,
    val validMilliseconds: Long,
)

/** The JSON body of an error response. */
@Serializable
internal data class ErrorAnswer(
    val error: String,
    val meaning: String,
    val detail: String,
    val runStatus: String,
    val resend: String,
)
