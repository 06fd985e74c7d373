package org.celeryusher.node.control

import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.request
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.celeryusher.kernel.identity.Address
import java.io.IOException
import kotlin.time.Duration

/** Sends requests to the control addresses of other nodes, signed if there is a fleet secret, and reads responses up to a size limit. */
internal class ControlTransport(
    private val client: HttpClient,
    private val signature: MessageSigner?,
    private val traffic: ControlTraffic,
    private val maximumBytes: Int,
) {
    /** Posts [body] and returns the body of the response, or null when there is no valid response within [timeout]. */
    suspend fun post(
        address: Address,
        path: String,
        body: ByteArray,
        timeout: Duration,
    ): ByteArray? = send(HttpMethod.Post, address, path, body, timeout)

    /** Gets [path] (with its query) and returns the body of the response, or null when there is no valid response within [timeout]. */
    suspend fun get(
        address: Address,
        path: String,
        timeout: Duration,
    ): ByteArray? = send(HttpMethod.Get, address, path, ByteArray(0), timeout)

    private suspend fun send(
        method: HttpMethod,
        address: Address,
        path: String,
        body: ByteArray,
        timeout: Duration,
    ): ByteArray? {
        val answer =
            try {
                withTimeoutOrNull(timeout) { exchange(method, address, path, body) }
            } catch (error: CancellationException) {
                throw error
            } catch (_: IOException) {
                null
            } catch (_: IllegalArgumentException) {
                null
            }
        if (answer == null) traffic.recordFailed()
        return answer
    }

    private suspend fun exchange(
        method: HttpMethod,
        address: Address,
        path: String,
        body: ByteArray,
    ): ByteArray? {
        val requestSignature = signature?.signRequest(method.value, path, body)
        val response =
            client.request("http://$address$path") {
                this.method = method
                header(HttpHeaders.AcceptEncoding, GZIP)
                requestSignature?.let { ControlHeaders.write(it) { name, value -> header(name, value) } }
                if (method == HttpMethod.Post) setBody(ByteArrayContent(body, ContentType.Application.Json))
            }
        traffic.recordSent(
            method.value.length + path.length + REQUEST_LINE_BYTES + ControlHeaders.bytesOf(response.request.headers) + body.size,
        )
        return readAnswer(response, requestSignature?.code)
    }

    private suspend fun readAnswer(
        response: HttpResponse,
        requestCode: String?,
    ): ByteArray? {
        val sent = response.bodyAsChannel().readRemaining(maximumBytes + 1L).readByteArray()
        traffic.recordReceived(STATUS_LINE_BYTES + ControlHeaders.bytesOf(response.headers) + sent.size)
        if (response.status != HttpStatusCode.OK || sent.size > maximumBytes) return null
        val fault = requestCode?.let { signature?.answerFaultOrNull(ControlHeaders.signatureIn(response.headers), it, sent) }
        if (fault != null) {
            traffic.recordUnauthenticated()
            return null
        }
        return if (response.headers[HttpHeaders.ContentEncoding] == GZIP) MessageCompression.expandOrNull(sent, maximumBytes) else sent
    }

    companion object {
        const val GZIP = "gzip"

        /** The size of ` HTTP/1.1`, the spaces and the line ends around the header of a request. */
        const val REQUEST_LINE_BYTES = 14

        /** The size of `HTTP/1.1 200 OK` and the line ends around the header of a response. */
        const val STATUS_LINE_BYTES = 19
    }
}
