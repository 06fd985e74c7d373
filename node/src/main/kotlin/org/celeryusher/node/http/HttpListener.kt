package org.celeryusher.node.http

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.configuration.CallerLimits
import org.celeryusher.kernel.identity.Address
import org.celeryusher.node.net.EventLoop
import org.celeryusher.node.net.MessageMemoryException
import org.celeryusher.node.net.TcpConnection
import org.celeryusher.node.net.TcpListener
import org.celeryusher.node.net.TcpNetwork
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Why a request could not be read. */
internal enum class RequestFault {
    MALFORMED,
    HEAD_TOO_LARGE,
    BODY_TOO_LARGE,
    ENDED_EARLY,
    TIMED_OUT,
    TOO_LITTLE_MEMORY,
}

/** Handles the requests of an [HttpListener]. */
internal interface HttpHandler {
    /** Returns the response to [request]. Cancelled when the client disconnects first. */
    suspend fun answer(request: HttpRequest): HttpResponse

    /** Records that [request] is dropped, because its client had closed the connection before it could be handled. */
    fun recordDisconnected(request: HttpRequest): Unit = Unit

    /** Returns the response to a request that could not be read because of [fault]. */
    fun respondToFault(
        fault: RequestFault,
        detail: String,
    ): HttpResponse
}

/**
 * An HTTP/1.1 server that reads complete requests and writes complete responses.
 *
 * A connection carries one request at a time. While a request is handled, the connection is read to detect that the client disconnects.
 * Bytes that the client sends before the response are buffered for the next request.
 */
internal class HttpListener(
    private val address: Address,
    private val network: TcpNetwork,
    private val limits: () -> CallerLimits,
    private val handler: HttpHandler,
) {
    private val connections = ConcurrentHashMap.newKeySet<HttpStream>()
    private val idle = ConcurrentHashMap.newKeySet<HttpStream>()
    private val exchanges = AtomicInteger()
    private var listener: TcpListener? = null

    @Volatile
    private var isClosing = false

    /** The number of requests that have begun to arrive and whose responses are not completely sent. */
    val inFlight: Int get() = exchanges.get()

    /** Binds the address and serves connections in [scope] until [stop]. */
    fun start(scope: CoroutineScope) {
        val bound = network.listen(address)
        listener = bound
        bound.acceptEach { connection -> scope.launch { serve(connection) } }
    }

    /** Closes each connection after its next response from now on. */
    fun closeAfterResponses() {
        isClosing = true
    }

    /** Closes the connections on which no request has started. */
    fun closeIdle(): Unit = idle.forEach(HttpStream::close)

    /** Stops listening and closes all connections. */
    fun stop() {
        listener?.close()
        connections.forEach(HttpStream::close)
    }

    private suspend fun serve(connection: TcpConnection) {
        val stream = HttpStream(connection)
        connections += stream
        try {
            if (serveNext(stream, isNew = true)) while (serveNext(stream)) continue
        } catch (error: CancellationException) {
            throw error
        } catch (error: IOException) {
            logger.debug { "connection at $address failed: ${error.message}" }
        } finally {
            connections -= stream
            idle -= stream
            stream.close()
        }
    }

    /** Serves one request; returns whether the connection stays open. */
    private suspend fun serveNext(
        stream: HttpStream,
        isNew: Boolean = false,
    ): Boolean {
        if (!awaitRequest(stream, isNew)) return false
        exchanges.incrementAndGet()
        val account = network.memory.open()
        try {
            return withContext(account) { serveStarted(stream) }
        } finally {
            account.close()
            exchanges.decrementAndGet()
        }
    }

    private suspend fun serveStarted(stream: HttpStream): Boolean {
        val limits = limits()
        val head =
            when (val read = readHead(stream, limits)) {
                is ReadResult.EndOfStream -> return false
                is ReadResult.Failed -> return reject(stream, read)
                is ReadResult.Done -> read.value
            }
        val body =
            when (val read = readBody(stream, head, limits)) {
                is ReadResult.EndOfStream -> return false
                is ReadResult.Failed -> return reject(stream, read)
                is ReadResult.Done -> read.value
            }
        val request = HttpRequest(head.method, head.target, head.headers, body, head.headers.value("Host").orEmpty())
        if (hasClientLeft(stream)) {
            handler.recordDisconnected(request)
            return false
        }
        val response = answerUnlessDisconnected(stream, request) ?: return false
        val isKeepAlive = head.isKeepAlive && !isClosing
        write(stream, HttpWriter.encode(response, head.method, isKeepAlive))
        return isKeepAlive
    }

    /**
     * Returns whether the client closed the connection a while ago, so that nobody waits for the response.
     *
     * A client that has only just closed its sending side may still read the response.
     */
    private fun hasClientLeft(stream: HttpStream): Boolean =
        stream.isEnded && network.now() - stream.receivedSince > HALF_CLOSE_GRACE + EventLoop.POLL_INTERVAL

    private suspend fun awaitRequest(
        stream: HttpStream,
        isNew: Boolean,
    ): Boolean {
        if (stream.bufferedBytes > 0) return true
        // The first request on a new connection is answered, so that its caller learns that it has not run.
        if (isClosing && !isNew) return false
        idle += stream
        try {
            return withTimeoutOrNull(limits().idleTimeoutMilliseconds) { stream.fill() } ?: false
        } finally {
            idle -= stream
        }
    }

    private suspend fun readHead(
        stream: HttpStream,
        limits: CallerLimits,
    ): ReadResult<RequestHead> =
        readWithin(limits.headerTimeoutMilliseconds.milliseconds, RequestFault.HEAD_TOO_LARGE) {
            stream.readHead(limits.maximumHeaderBytes)?.let(RequestHead::parse)
        }

    private suspend fun readBody(
        stream: HttpStream,
        head: RequestHead,
        limits: CallerLimits,
    ): ReadResult<ByteArray> =
        readWithin(limits.idleTimeoutMilliseconds.milliseconds, RequestFault.BODY_TOO_LARGE) {
            val framing = head.framing()
            if (framing != BodyFraming.Length(0) && head.headers.hasToken("Expect", "100-continue")) write(stream, listOf(CONTINUE))
            stream.readBody(framing, limits.maximumBodyBytes)
        }

    private suspend fun <T : Any> readWithin(
        limit: Duration,
        tooLarge: RequestFault,
        read: suspend () -> T?,
    ): ReadResult<T> =
        try {
            withTimeoutOrNull(limit) { read()?.let { ReadResult.Done(it) } ?: ReadResult.EndOfStream }
                ?: ReadResult.Failed(RequestFault.TIMED_OUT, "not whole within $limit")
        } catch (error: MalformedMessageException) {
            ReadResult.Failed(RequestFault.MALFORMED, error.message.orEmpty())
        } catch (error: MessageTooLargeException) {
            ReadResult.Failed(tooLarge, error.message.orEmpty())
        } catch (error: MessageMemoryException) {
            ReadResult.Failed(RequestFault.TOO_LITTLE_MEMORY, error.message.orEmpty())
        } catch (error: java.io.EOFException) {
            ReadResult.Failed(RequestFault.ENDED_EARLY, error.message.orEmpty())
        }

    /** Returns the response, or null when the client disconnects before it is ready. */
    private suspend fun answerUnlessDisconnected(
        stream: HttpStream,
        request: HttpRequest,
    ): HttpResponse? =
        coroutineScope {
            val answer = async { handler.answer(request) }
            val watch = launch(start = CoroutineStart.UNDISPATCHED) { cancelOnDisconnect(stream, answer) }
            try {
                answer.await()
            } catch (_: ClientDisconnectedException) {
                null
            } finally {
                watch.cancelAndJoin()
            }
        }

    private suspend fun cancelOnDisconnect(
        stream: HttpStream,
        answer: Deferred<HttpResponse>,
    ) {
        try {
            while (stream.fill()) {
                if (stream.bufferedBytes > MAXIMUM_READ_AHEAD_BYTES) awaitCancellation()
            }
            // A client may close only its sending side (half-close); a response that is nearly ready can still reach it.
            delay(HALF_CLOSE_GRACE)
            answer.cancel(ClientDisconnectedException("the client closed the connection"))
        } catch (error: IOException) {
            answer.cancel(ClientDisconnectedException("the connection to the client was lost: ${error.message}"))
        }
    }

    private suspend fun reject(
        stream: HttpStream,
        fault: ReadResult.Failed,
    ): Boolean {
        write(stream, HttpWriter.encode(handler.respondToFault(fault.fault, fault.detail), "GET", isKeepAlive = false))
        // Closing a connection with unread bytes resets it, which may discard the response before the client has read it.
        withTimeoutOrNull(LINGER_TIMEOUT) { discard(stream) }
        return false
    }

    private suspend fun discard(stream: HttpStream) {
        var left = MAXIMUM_DISCARDED_BYTES
        while (left > 0) {
            stream.discardBuffered().also { left -= it }
            if (!stream.fill()) return
        }
    }

    private suspend fun write(
        stream: HttpStream,
        message: List<ByteArray>,
    ) {
        val written =
            withTimeoutOrNull(WRITE_TIMEOUT) {
                message.forEach { stream.write(it) }
                true
            }
        if (written == null) throw IOException("the client did not read the response within $WRITE_TIMEOUT")
    }

    private sealed interface ReadResult<out T> {
        data class Done<T>(
            val value: T,
        ) : ReadResult<T>

        data class Failed(
            val fault: RequestFault,
            val detail: String,
        ) : ReadResult<Nothing>

        data object EndOfStream : ReadResult<Nothing>
    }

    private class ClientDisconnectedException(
        message: String,
    ) : CancellationException(message)

    private companion object {
        const val MAXIMUM_READ_AHEAD_BYTES = 65_536
        const val MAXIMUM_DISCARDED_BYTES = 1_048_576

        /**
         * How long a call continues after the client has closed its sending side.
         *
         * It is short compared with the 500 ms in which abandoned work must end.
         */
        val HALF_CLOSE_GRACE = 50.milliseconds

        /** How long a rejected client may continue to send before its connection is closed; about one intercontinental round trip. */
        val LINGER_TIMEOUT = 300.milliseconds

        /** How long a client may leave its response unread; longer than any client waits. */
        val WRITE_TIMEOUT = 30.seconds
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray(Charsets.ISO_8859_1)
        val logger = KotlinLogging.logger {}
    }
}
