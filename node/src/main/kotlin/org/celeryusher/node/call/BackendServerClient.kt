package org.celeryusher.node.call

import io.ktor.client.HttpClient
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.io.readByteArray
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.Address
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** Sends a call to a backend server, once, and tells how it ended. */
internal class BackendServerClient(
    private val client: HttpClient,
    private val server: Address,
    private val maximumAnswerBytes: Int,
) {
    /** Runs [request] on the backend server with [millisecondsLeft] until its deadline. */
    suspend fun run(
        request: CallRequest,
        millisecondsLeft: Long,
    ): CallResult =
        try {
            client.prepareRequest { fill(request, millisecondsLeft) }.execute { readAnswer(it) }
        } catch (error: CancellationException) {
            throw error
        } catch (_: ConnectException) {
            CallResult.Failed(ErrorKind.CONNECTION_REFUSED, "backend server $server")
        } catch (_: UnresolvedAddressException) {
            CallResult.Failed(ErrorKind.CONNECTION_REFUSED, "backend server $server")
        } catch (error: IOException) {
            CallResult.Failed(ErrorKind.CONNECTION_LOST, "backend server $server: ${error.javaClass.simpleName}")
        }

    private fun io.ktor.client.request.HttpRequestBuilder.fill(
        request: CallRequest,
        millisecondsLeft: Long,
    ) {
        method = HttpMethod(request.method)
        url("http://$server${request.target}")
        request.headers.filterNot { isReplaced(it.name) }.forEach { headers.append(it.name, it.value) }
        headers.append(CeleryusherHeaders.DEADLINE, millisecondsLeft.toString())
        setBody(if (request.body.isEmpty()) EmptyBody else ByteArrayContent(request.body))
    }

    private fun isReplaced(name: String): Boolean =
        ConnectionHeaders.contains(name) || name.equals(CeleryusherHeaders.DEADLINE, ignoreCase = true)

    private suspend fun readAnswer(response: HttpResponse): CallResult {
        if (response.headers[CeleryusherHeaders.SHED] !=
            null
        ) {
            return CallResult.Failed(ErrorKind.OVERLOADED, "shed by backend server $server")
        }
        val body =
            try {
                response.bodyAsChannel().readRemaining(maximumAnswerBytes + 1L).readByteArray()
            } catch (error: IOException) {
                return CallResult.Failed(ErrorKind.ANSWER_TORN, "backend server $server: ${error.javaClass.simpleName}")
            }
        if (body.size > maximumAnswerBytes) return CallResult.Failed(ErrorKind.ANSWER_TOO_LARGE, "backend server $server")
        val expected = response.headers["Content-Length"]?.toLongOrNull()
        if (expected != null && expected != body.size.toLong()) {
            return CallResult.Failed(ErrorKind.ANSWER_TORN, "backend server $server: ${body.size} of $expected bytes")
        }
        val fields =
            response.headers
                .entries()
                .filterNot { (name, _) -> ConnectionHeaders.contains(name) }
                .flatMap { (name, values) -> values.map { HeaderField(name, it) } }
        return CallResult.Answered(response.status.value, fields, body)
    }

    private object EmptyBody : OutgoingContent.NoContent()
}
