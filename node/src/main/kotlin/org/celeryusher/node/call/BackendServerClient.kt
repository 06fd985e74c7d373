package org.celeryusher.node.call

import org.celeryusher.kernel.admission.ServerNotice
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.node.http.ExchangeResult
import org.celeryusher.node.http.HeaderField
import org.celeryusher.node.http.HttpConnectionPool
import org.celeryusher.node.http.HttpRequest
import org.celeryusher.node.http.HttpResponse
import org.celeryusher.node.http.ResponseHead
import org.celeryusher.node.http.ResponseOwner
import org.celeryusher.node.http.value

/** The result of one request to a backend server, and what the server stated about itself, or null without a response of that server. */
internal class ServerReply(
    val result: CallResult,
    val notice: ServerNotice? = null,
    /** Whether the server refused the connection; other failures to connect, such as a time-out, tell nothing about its process. */
    val isRefused: Boolean = false,
)

/** An HTTP client for the backend server of this instance, which sends each call at most once. */
internal class BackendServerClient(
    private val connections: HttpConnectionPool,
    private val server: Address,
    private val headers: CallHeaders,
) {
    /**
     * Sends [request] with [millisecondsLeft] until its deadline, and returns its result.
     *
     * Where the platform names backend servers separately, only the server [expected] runs it; null allows any.
     */
    suspend fun run(
        request: CallRequest,
        millisecondsLeft: Long,
        expected: InstanceName?,
    ): ServerReply {
        val attempt = headers.attemptOf(request.headers)
        val result = connections.exchange(outgoingRequest(request, millisecondsLeft, expected)) { ownerOf(it, attempt) }
        return when (result) {
            is ExchangeResult.Answered -> replyOf(result.response)
            is ExchangeResult.NotConnected -> failed(ErrorKind.CONNECTION_REFUSED, result.detail, result.isRefused)
            is ExchangeResult.Broken -> {
                failed(if (result.hasResponseBegun) ErrorKind.ANSWER_TORN else ErrorKind.CONNECTION_LOST, result.detail)
            }
        }
    }

    /** Asks the health page of the backend server at [path] and returns what the server states there, or null without an answer. */
    suspend fun health(path: String): ServerNotice? {
        val request = HttpRequest("GET", path, emptyList(), ByteArray(0), server.toString())
        val answer = connections.exchange(request) as? ExchangeResult.Answered ?: return null
        return if (answer.response.status == MISDIRECTED) null else headers.notices?.decode(answer.response.headers) ?: ServerNotice()
    }

    /** Returns whether the backend server still accepts connections. */
    suspend fun isListening(): Boolean = connections.isListening()

    /** Closes the idle connections. */
    fun closeIdleConnections(): Unit = connections.closeIdle()

    private fun outgoingRequest(
        request: CallRequest,
        millisecondsLeft: Long,
        expected: InstanceName?,
    ): HttpRequest {
        val expectation = headers.expectedServer?.let { name -> expected?.let { HeaderField(name, it.value) } }
        val forwarded = request.headers.filterNot { it.name.equals(headers.deadline, ignoreCase = true) }
        val fields = forwarded + HeaderField(headers.deadline, millisecondsLeft.toString()) + listOfNotNull(expectation)
        return HttpRequest(request.method, request.target, fields, request.body, request.host.ifEmpty { server.toString() })
    }

    /**
     * Returns which request [head] answers.
     *
     * Where the platform has no attempt ids, only refusals count as unstated: a second copy of one would be taken as proof that the next
     * call has not run.
     */
    private fun ownerOf(
        head: ResponseHead,
        attempt: String?,
    ): ResponseOwner {
        val answered = headers.attemptOf(head.headers)
        return when {
            headers.attempt == null -> if (isRefusal(head)) ResponseOwner.UNSTATED else ResponseOwner.THIS_REQUEST
            attempt == null || answered == null -> ResponseOwner.UNSTATED
            answered == attempt -> ResponseOwner.THIS_REQUEST
            else -> ResponseOwner.OTHER_REQUEST
        }
    }

    private fun isRefusal(head: ResponseHead): Boolean = head.status == MISDIRECTED || head.headers.value(headers.shed) != null

    private fun failed(
        kind: ErrorKind,
        detail: String,
        isRefused: Boolean = false,
    ) = ServerReply(CallResult.Failed(kind, "backend server $detail"), isRefused = isRefused)

    private fun replyOf(response: HttpResponse): ServerReply =
        ServerReply(resultOf(response), if (response.status == MISDIRECTED) null else headers.notices?.decode(response.headers))

    private fun resultOf(response: HttpResponse): CallResult =
        when {
            response.status == MISDIRECTED -> CallResult.Failed(ErrorKind.SERVER_REPLACED, "backend server $server answered $MISDIRECTED")
            response.headers.value(headers.shed) != null -> {
                CallResult.Failed(ErrorKind.SERVER_SHED, "shed by backend server $server with ${response.status}")
            }
            else -> CallResult.Answered(response.status, response.headers.filterNot { ConnectionHeaders.contains(it.name) }, response.body)
        }

    private companion object {
        const val MISDIRECTED = 421
    }
}
