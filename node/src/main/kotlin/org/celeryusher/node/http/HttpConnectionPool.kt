package org.celeryusher.node.http

import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The result of one exchange (a request and its response) with an HTTP server. */
internal sealed interface ExchangeResult {
    /** A complete response was received. */
    class Answered(
        val response: HttpResponse,
    ) : ExchangeResult

    /** No connection could be opened, so nothing was sent. */
    data class NotConnected(
        val detail: String,
        /** Whether the connection was refused, which means that nothing listens at the address. */
        val isRefused: Boolean,
    ) : ExchangeResult

    /** The connection was lost, or the response was incomplete or malformed, after at least a part of the request may have been sent. */
    data class Broken(
        val detail: String,
        /** Whether the head of the response had been received. */
        val hasResponseBegun: Boolean,
    ) : ExchangeResult
}

/** Which request a response answers, by what the response states. */
internal enum class ResponseOwner {
    /** The request that waits for it. */
    THIS_REQUEST,

    /** An earlier request on the connection. */
    OTHER_REQUEST,

    /**
     * The response does not state it.
     *
     * It is taken for the request that waits, but a second copy of it could not be told from the next response.
     */
    UNSTATED,
}

/** The limits of the connections to one server. */
internal data class ConnectionLimits(
    val connectTimeout: Duration = 500.milliseconds,
    val maximumHeadBytes: Int = 65_536,
    val maximumBodyBytes: Int,
    /** The maximum time that an idle connection is kept; a shorter keep-alive timeout of the server takes precedence. */
    val idleTimeout: Duration = 4.seconds,
)

/**
 * A pool of keep-alive connections to one HTTP server. Each connection carries one exchange at a time, and a request is never sent twice.
 *
 * A connection is reused only when its last response was complete and stated its request, no bytes followed it, and the server is not
 * about to close it.
 */
internal class HttpConnectionPool(
    private val address: Address,
    private val network: TcpNetwork,
    private val clock: ProcessClock,
    private val limits: ConnectionLimits,
) {
    private class IdleConnection(
        val stream: HttpStream,
        val usableUntil: Moment,
    )

    private val idle = ArrayDeque<IdleConnection>()

    /**
     * Sends [request] and returns the result. Late responses to earlier requests, which [ownerOf] detects, are skipped.
     *
     * Cancellation closes the connection, which signals the server that the response is no longer needed. [progress] shows what has arrived.
     */
    suspend fun exchange(
        request: HttpRequest,
        progress: ReceiveProgress? = null,
        ownerOf: (ResponseHead) -> ResponseOwner = { ResponseOwner.THIS_REQUEST },
    ): ExchangeResult {
        val stream =
            try {
                reuse() ?: connect()
            } catch (error: java.net.ConnectException) {
                return ExchangeResult.NotConnected(error.message.orEmpty(), isRefused = true)
            } catch (error: IOException) {
                return ExchangeResult.NotConnected(describe(error), isRefused = false)
            }
        progress?.begin(stream)
        return exchange(stream, request, progress, ownerOf)
    }

    /** Returns whether the server accepts new connections: false only when it refuses one, true on other failures such as a timeout. */
    suspend fun isListening(): Boolean =
        try {
            connect().close()
            true
        } catch (_: java.net.ConnectException) {
            false
        } catch (_: IOException) {
            true
        }

    /** Closes the idle connections. */
    @Synchronized
    fun closeIdle() {
        idle.forEach { it.stream.close() }
        idle.clear()
    }

    private suspend fun exchange(
        stream: HttpStream,
        request: HttpRequest,
        received: ReceiveProgress?,
        ownerOf: (ResponseHead) -> ResponseOwner,
    ): ExchangeResult {
        var isReturned = false
        val progress = Progress()
        try {
            HttpWriter.encode(request).forEach { stream.write(it) }
            val head = readFinalHead(stream, request.method, ownerOf, progress)
            received?.recordHead()
            val framing = head.framing(request.method)
            val body = stream.readBody(framing, limits.maximumBodyBytes)
            val isReusable = head.isKeepAlive && framing != BodyFraming.UntilClose && progress.isMatched && stream.isIdle
            isReturned = isReusable && returnToPool(stream, head)
            return ExchangeResult.Answered(HttpResponse(head.status, head.headers, body))
        } catch (error: IOException) {
            return ExchangeResult.Broken(describe(error), progress.hasResponseBegun)
        } finally {
            if (!isReturned) stream.close()
        }
    }

    private class Progress {
        var hasResponseBegun = false

        /** Whether all responses on the connection so far are known to belong to their requests. */
        var isMatched = true
    }

    private suspend fun readFinalHead(
        stream: HttpStream,
        method: String,
        ownerOf: (ResponseHead) -> ResponseOwner,
        progress: Progress,
    ): ResponseHead {
        repeat(MAXIMUM_RESPONSES) {
            val text = stream.readHead(limits.maximumHeadBytes) ?: throw IOException("the server closed the connection without an answer")
            val head = ResponseHead.parse(text)
            if (head.isInterim) return@repeat
            val owner = ownerOf(head)
            if (owner != ResponseOwner.THIS_REQUEST) progress.isMatched = false
            if (owner != ResponseOwner.OTHER_REQUEST) {
                progress.hasResponseBegun = true
                return head
            }
            val framing = head.framing(method)
            if (framing == BodyFraming.UntilClose) throw IOException("an answer to another request ends with the connection")
            stream.readBody(framing, limits.maximumBodyBytes)
        }
        throw IOException("the server sent $MAXIMUM_RESPONSES responses, none of which answers the request")
    }

    @Synchronized
    private fun reuse(): HttpStream? {
        val now = clock.now()
        while (true) {
            val last = idle.removeLastOrNull() ?: return null
            if (now < last.usableUntil && last.stream.isIdle) return last.stream
            last.stream.close()
        }
    }

    @Synchronized
    private fun returnToPool(
        stream: HttpStream,
        head: ResponseHead,
    ): Boolean {
        val now = clock.now()
        while (idle.isNotEmpty() && idle.first().usableUntil <= now) idle.removeFirst().stream.close()
        if (idle.size >= MAXIMUM_IDLE_CONNECTIONS) return false
        val usableFor = keepAliveTimeout(head.headers)?.let { it - CLOSE_MARGIN } ?: limits.idleTimeout
        if (!usableFor.isPositive()) return false
        idle += IdleConnection(stream, now + minOf(usableFor, limits.idleTimeout))
        return true
    }

    private suspend fun connect(): HttpStream =
        try {
            HttpStream(withTimeout(limits.connectTimeout) { network.connect(address) })
        } catch (error: TimeoutCancellationException) {
            throw IOException("no connection to $address within ${limits.connectTimeout}", error)
        }

    private fun keepAliveTimeout(headers: List<HeaderField>): Duration? =
        headers
            .values("Keep-Alive")
            .flatMap { it.split(',') }
            .map { it.trim() }
            .firstOrNull { it.startsWith("timeout=", ignoreCase = true) }
            ?.substringAfter('=')
            ?.toIntOrNull()
            ?.seconds

    private fun describe(error: IOException): String = "$address: ${error.message ?: error.javaClass.simpleName}"

    private companion object {
        const val MAXIMUM_IDLE_CONNECTIONS = 16

        /** The number of responses, with interim ones and late ones to earlier requests, that are read in one exchange. */
        const val MAXIMUM_RESPONSES = 32

        /** A connection that the server closes within this time is not reused, since the request could cross with the close. */
        val CLOSE_MARGIN = 1.seconds
    }
}
