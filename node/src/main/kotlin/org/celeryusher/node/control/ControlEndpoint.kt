package org.celeryusher.node.control

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
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.GossipMessage
import org.celeryusher.node.call.CeleryusherHeaders
import org.celeryusher.node.call.ErrorAnswer

/**
 * Serves the requests of other nodes at the control address.
 *
 * It reads each request completely, up to the size limit, and verifies its signature before it handles the message.
 */
internal class ControlEndpoint(
    private val state: ControlState,
    private val actions: ControlActionExecutor,
    private val extension: GossipExtension,
    private val signature: MessageSigner?,
    private val traffic: ControlTraffic,
    private val maximumBytes: Int,
) {
    /** Handles one request and responds to it. */
    suspend fun answer(call: ApplicationCall) {
        val body = readBody(call)
        val target = call.request.uri
        traffic.recordReceived(
            call.request.httpMethod.value.length + target.length + ControlTransport.REQUEST_LINE_BYTES +
                ControlHeaders.bytesOf(call.request.headers) + body.size,
        )
        if (body.size > maximumBytes) return refuse(call, ErrorKind.MESSAGE_MALFORMED, "more than $maximumBytes bytes")
        val signed = ControlHeaders.signatureIn(call.request.headers)
        val fault = signature?.requestFaultOrNull(signed, call.request.httpMethod.value, target, body)
        if (fault != null) return refuse(call, ErrorKind.MESSAGE_UNAUTHENTICATED, fault.name)
        dispatch(call, body)
    }

    private suspend fun dispatch(
        call: ApplicationCall,
        body: ByteArray,
    ) {
        val isPost = call.request.httpMethod == HttpMethod.Post
        val isGet = call.request.httpMethod == HttpMethod.Get
        when (call.request.path()) {
            ControlPaths.GOSSIP if isPost -> answerGossip(call, body)
            ControlPaths.CONFIGURATION if isPost -> answerAnnouncement(call, body)
            ControlPaths.CONFIGURATION if isGet -> answerPull(call)
            ControlPaths.INSTANCES if isGet -> answerInstances(call)
            else -> refuse(call, ErrorKind.MESSAGE_MALFORMED, "${call.request.httpMethod.value} ${call.request.path()}")
        }
    }

    private suspend fun answerGossip(
        call: ApplicationCall,
        body: ByteArray,
    ) {
        val message = ControlFormat.decodeOrNull(GossipMessage.serializer(), body) ?: return refuseMalformed(call)
        if (message.payload.quarantined.isNotEmpty()) extension.incoming(message.payload.quarantined)
        val received = state.handleGossip(message)
        actions.start(received.actions)
        respond(call, GossipMessage.serializer(), actions.withPayload(received.reply))
    }

    private suspend fun answerAnnouncement(
        call: ApplicationCall,
        body: ByteArray,
    ) {
        val announcement = ControlFormat.decodeOrNull(ConfigurationAnnouncement.serializer(), body) ?: return refuseMalformed(call)
        respond(call, ConfigurationAnnouncement.serializer(), actions.handleAnnouncement(announcement))
    }

    private suspend fun answerPull(call: ApplicationCall) {
        val query = call.request.queryParameters
        val peer = query["instance"]?.let(::InstanceName) ?: return refuse(call, ErrorKind.MESSAGE_MALFORMED, "no instance")
        val version = query["version"]?.toLongOrNull()
        val hash = query["hash"]?.toLongOrNull()
        val held = if (version != null && hash != null) ConfigurationDigest(version, hash) else null
        if (state.payload().configuration == null) return refuse(call, ErrorKind.NO_CONFIGURATION, "")
        val transfer = ConfigurationTransfer.of(state.transferFor(peer, held))
        try {
            respond(call, ConfigurationTransfer.serializer(), transfer)
        } finally {
            if (transfer is ConfigurationTransfer.Delta || transfer is ConfigurationTransfer.Whole) state.transferEnded(peer)
        }
    }

    private suspend fun answerInstances(call: ApplicationCall) {
        val revision = call.request.queryParameters["revision"]?.toLongOrNull()
        val transfer = state.instancesFor(revision) ?: return refuse(call, ErrorKind.NO_CONFIGURATION, "no instance list")
        respond(call, InstanceListTransfer.serializer(), transfer)
    }

    private suspend fun <T> respond(
        call: ApplicationCall,
        serializer: KSerializer<T>,
        message: T,
    ) {
        val plain = ControlFormat.encode(serializer, message)
        val accepted = call.request.headers[HttpHeaders.AcceptEncoding]?.contains(ControlTransport.GZIP) ?: false
        val isCompressed = accepted && plain.size >= MessageCompression.MINIMUM_BYTES
        val body = if (isCompressed) MessageCompression.compress(plain) else plain
        if (isCompressed) call.response.header(HttpHeaders.ContentEncoding, ControlTransport.GZIP)
        val requestCode = ControlHeaders.signatureIn(call.request.headers)?.code
        if (signature != null && requestCode != null) {
            ControlHeaders.write(signature.signAnswer(requestCode, body)) { name, value -> call.response.header(name, value) }
        }
        send(call, HttpStatusCode.OK, body)
    }

    private suspend fun refuseMalformed(call: ApplicationCall): Unit =
        refuse(call, ErrorKind.MESSAGE_MALFORMED, "not the JSON of a message to ${call.request.path()}")

    private suspend fun refuse(
        call: ApplicationCall,
        kind: ErrorKind,
        detail: String,
    ) {
        when (kind) {
            ErrorKind.MESSAGE_MALFORMED -> traffic.recordMalformed()
            ErrorKind.MESSAGE_UNAUTHENTICATED -> traffic.recordUnauthenticated()
            else -> Unit
        }
        call.response.header(CeleryusherHeaders.ERROR, kind.name)
        val answer = ErrorAnswer(kind.name, kind.meaning, detail, kind.runStatus.headerValue, kind.resend.name)
        send(call, HttpStatusCode.fromValue(kind.httpStatus), Json.encodeToString(answer).encodeToByteArray())
    }

    private suspend fun send(
        call: ApplicationCall,
        status: HttpStatusCode,
        body: ByteArray,
    ) {
        call.respond(ByteArrayContent(body, ContentType.Application.Json, status))
        traffic.recordSent(ControlTransport.STATUS_LINE_BYTES + ControlHeaders.bytesOf(call.response.headers.allValues()) + body.size)
    }

    private suspend fun readBody(call: ApplicationCall): ByteArray {
        val headers = call.request.headers
        val readLimit = maximumBytes + 1L
        val announced = headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: if (HttpHeaders.TransferEncoding in headers) readLimit else 0L
        return if (announced <= 0L) ByteArray(0) else call.receiveChannel().readRemaining(minOf(announced, readLimit)).readByteArray()
    }
}
