package org.celeryusher.standin.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.ParserException
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseHttpBody
import io.ktor.http.cio.parseRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.toByteArray
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.celeryusher.kernel.identity.Address
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * An HTTP/1.1 server based on ktor-network sockets and the CIO parser.
 *
 * All listeners of a process share one selector and the default dispatcher, because a Ktor CIO engine blocks one I/O thread per
 * connector and one process contains hundreds of stand-ins. The listener also offers what an engine does not: connection limits, abrupt
 * closing, and the cancellation of a handler whose caller disconnects.
 */
public class HttpListener(
    private val host: String,
    private val limits: ConnectionLimits,
    private val handler: suspend (HttpRequest) -> HttpResponse,
) {
    private val connections = ConcurrentHashMap.newKeySet<Socket>()
    private val refused = AtomicLong()
    private var scope: CoroutineScope? = null
    private var socket: ServerSocket? = null

    /** Number of open connections. */
    public val openConnections: Int get() = connections.size

    /** Number of connections that were closed when accepted because the limit was reached. */
    public val refusedConnections: Long get() = refused.get()

    /** Binds [port], or a free port if it is 0, and returns the bound address. */
    @Synchronized
    public fun open(port: Int): Address {
        val bound = runBlocking { aSocket(sharedSelector).tcp().bind(host, port) { backlogSize = ACCEPT_BACKLOG } }
        val opened = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        socket = bound
        scope = opened
        opened.launch { acceptAll(bound, opened) }
        return Address(host, (bound.localAddress as InetSocketAddress).port)
    }

    /** Stops listening, cancels all running handlers and closes all connections immediately. Does nothing if the listener is not open. */
    @Synchronized
    public fun close() {
        socket?.close()
        scope?.cancel()
        connections.forEach(Socket::close)
        connections.clear()
        socket = null
        scope = null
    }

    private suspend fun acceptAll(
        bound: ServerSocket,
        scope: CoroutineScope,
    ) {
        while (currentCoroutineContext().isActive) {
            val accepted =
                try {
                    bound.accept()
                } catch (_: IOException) {
                    return
                }
            if (connections.size >= limits.maximum) {
                refused.incrementAndGet()
                accepted.close()
            } else {
                connections += accepted
                scope.launch { serve(accepted) }.invokeOnCompletion { closeConnection(accepted) }
            }
        }
    }

    private fun closeConnection(connection: Socket) {
        connections -= connection
        connection.close()
    }

    private suspend fun serve(connection: Socket) {
        try {
            if (limits.openingDelay.isPositive()) delay(limits.openingDelay)
            val input = connection.openReadChannel()
            val output = connection.openWriteChannel()
            while (serveNext(input, output)) currentCoroutineContext().ensureActive()
        } catch (_: IOException) {
            return
        } catch (_: ParserException) {
            return
        }
    }

    private suspend fun serveNext(
        input: ByteReadChannel,
        output: ByteWriteChannel,
    ): Boolean {
        val request = parseRequest(input) ?: return false
        val call =
            try {
                readRequest(request, input)
            } finally {
                request.release()
            }
        return when (val response = responseUnlessDisconnected(call, input)) {
            null, HttpResponse.Closed -> {
                false
            }

            is HttpResponse.Complete -> {
                write(output, response.status, response.headers, response.body, response.body.size)
                call.header("Connection")?.lowercase() != "close"
            }

            is HttpResponse.Endless -> {
                output.writeFully(response.head.encodeToByteArray())
                while (true) {
                    output.writeFully(response.repeated)
                    output.flush()
                }
                false
            }

            is HttpResponse.WrongLength -> {
                write(output, response.status, response.headers, response.body, response.declaredLength)
                output.flushAndClose()
                false
            }
        }
    }

    /** Runs the handler and returns its response. Cancels the handler and returns null if the caller disconnects first. */
    private suspend fun responseUnlessDisconnected(
        call: HttpRequest,
        input: ByteReadChannel,
    ): HttpResponse? =
        coroutineScope {
            val answer = async { handler(call) }
            val disconnectWatcher = launch { cancelOnDisconnect(input, answer) }
            try {
                answer.await()
            } catch (cancelled: CancellationException) {
                currentCoroutineContext().ensureActive()
                null
            } finally {
                disconnectWatcher.cancel()
            }
        }

    private suspend fun cancelOnDisconnect(
        input: ByteReadChannel,
        answer: Job,
    ) {
        val open =
            try {
                input.awaitContent()
            } catch (_: IOException) {
                false
            }
        if (!open) answer.cancel()
    }

    private suspend fun readRequest(
        request: Request,
        input: ByteReadChannel,
    ): HttpRequest {
        val headers = LinkedHashMap<String, String>()
        for (offset in request.headers.offsets()) {
            headers[
                request.headers
                    .nameAtOffset(offset)
                    .toString()
                    .lowercase(),
            ] = request.headers.valueAtOffset(offset).toString()
        }
        return HttpRequest(request.method.value, request.uri.toString(), headers, readBody(request, headers, input))
    }

    private suspend fun readBody(
        request: Request,
        headers: Map<String, String>,
        input: ByteReadChannel,
    ): ByteArray {
        val length = headers["content-length"]?.toIntOrNull()
        return when {
            length != null -> input.readByteArray(length)
            headers["transfer-encoding"] == null -> ByteArray(0)
            else -> readEncodedBody(request, input)
        }
    }

    private suspend fun readEncodedBody(
        request: Request,
        input: ByteReadChannel,
    ): ByteArray =
        coroutineScope {
            val body = ByteChannel()
            launch {
                parseHttpBody(request.headers, input, body)
                body.flushAndClose()
            }
            body.toByteArray()
        }

    private suspend fun write(
        output: ByteWriteChannel,
        status: Int,
        headers: List<HttpHeader>,
        body: ByteArray,
        declaredLength: Int,
    ) {
        val head =
            buildString {
                append("HTTP/1.1 ${"%03d".format(status)} ${HttpStatusCode.fromValue(status).description}\r\n")
                headers.forEach { append("${it.name}: ${it.value}\r\n") }
                if (status != HttpStatusCode.NoContent.value) append("Content-Length: $declaredLength\r\n")
                append("\r\n")
            }
        output.writeFully(head.encodeToByteArray())
        for (start in body.indices step WRITE_CHUNK_BYTES) {
            output.writeFully(body, start, minOf(start + WRITE_CHUNK_BYTES, body.size))
            output.flush()
        }
        output.flush()
    }

    private companion object {
        const val ACCEPT_BACKLOG = 4096
        const val WRITE_CHUNK_BYTES = 16 * 1024
        val sharedSelector: SelectorManager by lazy { SelectorManager(Dispatchers.IO) }
    }
}

/** Maximum number of open connections, and the delay between accepting a connection and reading its first request. */
public data class ConnectionLimits(
    public val maximum: Int = Int.MAX_VALUE,
    public val openingDelay: Duration = Duration.ZERO,
)
