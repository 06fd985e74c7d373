package org.celeryusher.node.call

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
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
import kotlin.time.DurationUnit

/** Answers callers over HTTP: reads a whole request within the limits, has it run, writes a whole answer. */
internal class CallerEndpoint(
    private val proxy: CallProxy,
    private val clock: ProcessClock,
    private val limits: NodeLimits,
) {
    /** Answers one call of a caller. */
    suspend fun answer(call: ApplicationCall) {
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
        val passedOn = headers.filterNot { ConnectionHeaders.contains(it.name) }
        write(call, proxy.run(CallRequest(call.request.httpMethod.value, call.request.uri, passedOn, body, arrived)))
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
                contentType = ContentType.parse(field.value)
            } else {
                call.response.headers.append(field.name, field.value, safeOnly = false)
            }
        }
        call.respond(ByteArrayContent(result.body, contentType, HttpStatusCode.fromValue(result.status)))
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

/** The JSON body of an error answer. */
@Serializable
internal data class ErrorAnswer(
    val error: String,
    val meaning: String,
    val detail: String,
    val runStatus: String,
    val resend: String,
)
