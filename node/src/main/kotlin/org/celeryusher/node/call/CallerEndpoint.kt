package org.celeryusher.node.call

import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.settings.NodeLimits
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.DurationUnit

/** Answers callers over HTTP: reads a whole request within the limits, has it run, writes a whole answer. */
internal class CallerEndpoint(
    private val proxy: CallProxy,
    private val clock: ProcessClock,
    private val limits: NodeLimits,
) {
    private val running = AtomicInteger()

    @Volatile
    private var stopping = false

    /** How many calls of callers are in flight. */
    val inFlight: Int get() = running.get()

    /** Refuses new calls from now on; those in flight go on. */
    fun refuseNewCalls() {
        stopping = true
    }

    /** Answers one call of a caller. */
    suspend fun answer(call: ApplicationCall) {
        running.incrementAndGet()
        try {
            if (stopping) write(call, CallResult.Failed(ErrorKind.NODE_STOPPING)) else answerWhileServing(call)
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun answerWhileServing(call: ApplicationCall) {
        val arrived = clock.now()
        RequestTarget.faultOf(call.request.uri)?.let { return write(call, CallResult.Failed(ErrorKind.BAD_REQUEST, it)) }
        val headers =
            call.request.headers
                .entries()
                .flatMap { (name, values) -> values.map { HeaderField(name, it) } }
        val headerBytes = headers.sumOf { it.name.length + it.value.length }
        if (headerBytes > limits.maximumHeaderBytes) {
            return write(call, CallResult.Failed(ErrorKind.REQUEST_TOO_LARGE, "$headerBytes header bytes"))
        }
        val body = readBody(call)
        if (body.size > limits.maximumBodyBytes) {
            return write(call, CallResult.Failed(ErrorKind.REQUEST_TOO_LARGE, "more than ${limits.maximumBodyBytes} body bytes"))
        }
        val announced = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        if (announced != null && body.size < announced) {
            return write(call, CallResult.Failed(ErrorKind.BAD_REQUEST, "${body.size} of $announced body bytes arrived"))
        }
        if (call.request.path() == TICKET_PATH && call.request.httpMethod == HttpMethod.Post) return answerTicket(call)
        val passedOn = headers.filterNot { ConnectionHeaders.contains(it.name) }
        val answer = proxy.run(CallRequest(call.request.httpMethod.value, call.request.uri, passedOn, body, arrived))
        if (answer.retried) call.response.header(CeleryusherHeaders.RETRIED, "true")
        write(call, answer.result)
    }

    private suspend fun answerTicket(call: ApplicationCall) {
        val parameters = call.request.queryParameters
        val method = parameters["method"] ?: return write(call, CallResult.Failed(ErrorKind.BAD_REQUEST, "the parameter method is missing"))
        val path = parameters["path"] ?: return write(call, CallResult.Failed(ErrorKind.BAD_REQUEST, "the parameter path is missing"))
        when (val reply = proxy.requestTicket(method, path)) {
            is TicketReply.Issued -> {
                val body = Json.encodeToString(TicketAnswer(reply.ticket, reply.validMilliseconds)).encodeToByteArray()
                call.respond(ByteArrayContent(body, ContentType.Application.Json, HttpStatusCode.Created))
            }

            is TicketReply.Refused -> {
                write(call, CallResult.Failed(reply.kind, "$method $path"))
            }
        }
    }

    // The channel of a request that offers an upgrade stays open after its body, so no more is read than the headers announce.
    private suspend fun readBody(call: ApplicationCall): ByteArray {
        val headers = call.request.headers
        val mostRead = limits.maximumBodyBytes + 1L
        val announced = headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: if (HttpHeaders.TransferEncoding in headers) mostRead else 0L
        return if (announced == 0L) ByteArray(0) else call.receiveChannel().readRemaining(minOf(announced, mostRead)).readByteArray()
    }

    private suspend fun write(
        call: ApplicationCall,
        result: CallResult,
    ) {
        when (result) {
            is CallResult.Answered -> writeAnswer(call, result)
            is CallResult.Failed -> writeError(call, result)
        }
    }

    private suspend fun writeAnswer(
        call: ApplicationCall,
        result: CallResult.Answered,
    ) {
        call.response.header(CeleryusherHeaders.RUN_STATUS, RunStatus.RAN.headerValue)
        var contentType: ContentType? = null
        for (field in result.headers) {
            if (field.name.equals(HttpHeaders.ContentType, ignoreCase = true)) {
                contentType = contentTypeOf(field.value)
            } else if (!field.name.equals(CeleryusherHeaders.RETRIED, ignoreCase = true)) {
                call.response.headers.append(field.name, field.value, safeOnly = false)
            }
        }
        call.respond(ByteArrayContent(result.body, contentType, HttpStatusCode.fromValue(result.status)))
    }

    // A content type that cannot be parsed is left out: the body is passed on as it is.
    private fun contentTypeOf(value: String): ContentType? =
        try {
            ContentType.parse(value)
        } catch (_: BadContentTypeFormatException) {
            null
        }

    private suspend fun writeError(
        call: ApplicationCall,
        result: CallResult.Failed,
    ) {
        val kind = result.kind
        call.response.header(CeleryusherHeaders.RUN_STATUS, kind.runStatus.headerValue)
        call.response.header(CeleryusherHeaders.ERROR, kind.name)
        result.retryAfter?.let { call.response.header(HttpHeaders.RetryAfter, it.toLong(DurationUnit.SECONDS).coerceAtLeast(1).toString()) }
        val body = Json.encodeToString(ErrorAnswer(kind.name, kind.meaning, result.detail, kind.runStatus.headerValue, kind.resend.name))
        call.respond(ByteArrayContent(body.encodeToByteArray(), ContentType.Application.Json, HttpStatusCode.fromValue(kind.httpStatus)))
    }
}

private const val TICKET_PATH = "/-/tickets"

/** The JSON body of the answer to a request for a ticket. */
@Serializable
internal data class TicketAnswer(
    val ticket: String,
    val validMilliseconds: Long,
)

/** The JSON body of an error answer. */
@Serializable
internal data class ErrorAnswer(
    val error: String,
    val meaning: String,
    val detail: String,
    val runStatus: String,
    val resend: String,
)
