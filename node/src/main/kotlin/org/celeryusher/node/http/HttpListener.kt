package org.celeryusher.node.http

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.admission.CallerPort
import org.celeryusher.kernel.configuration.CallerLimits
import org.celeryusher.kernel.identity.Address
import org.celeryusher.node.net.CallerConnection
import org.celeryusher.node.net.CallerLedger
import org.celeryusher.node.net.MessageMemory
import org.celeryusher.node.net.MessageMemoryException
import org.celeryusher.node.net.TcpListener
import org.celeryusher.node.net.TcpNetwork
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * An HTTP/1.1 server that reads complete requests and writes complete responses.
 *
 * A connection carries one request at a time. While a request is handled, the connection is read to detect that the client disconnects, but
 * only until a small buffer of the next request has arrived. Everything that a connection holds is charged to [ledger] as one at [port].
 */
internal class HttpListener(
    private val address: Address,
    private val network: TcpNetwork,
    private val limits: () -> CallerLimits,
    private val handler: HttpHandler,
    private val ledger: CallerLedger = CallerLedger(network.memory),
    private val port: CallerPort = CallerPort.CALLERS,
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
        bound.acceptEach { accepted ->
            accepted.limitSendBuffer()
            ledger.open(accepted, port)?.let { scope.launch { serve(it) } }
        }
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

    private suspend fun serve(connection: CallerConnection) {
        val stream = HttpStream(connection.tcp, connection)
        connections += stream
        try {
            if (serveNext(connection, stream, isNew = true)) while (serveNext(connection, stream)) continue
        } catch (error: CancellationException) {
            throw error
        } catch (error: IOException) {
            logger.debug { "connection at $address failed: ${error.message}" }
        } finally {
            connections -= stream
            idle -= stream
            stream.close()
            connection.close()
        }
    }

    /** Serves one request; returns whether the connection stays open. */
    private suspend fun serveNext(
        connection: CallerConnection,
        stream: HttpStream,
        isNew: Boolean = false,
    ): Boolean {
        val isSentAhead = stream.hasNextMessage
        if (!awaitRequest(stream, isNew)) return false
        exchanges.incrementAndGet()
        val account = network.memory.open(connection)
        try {
            return withContext(account) { serveStarted(connection, stream, account, isSentAhead) }
        } finally {
            stream.trim()
            account.close()
            connection.finish()
            exchanges.decrementAndGet()
        }
    }

    private suspend fun serveStarted(
        connection: CallerConnection,
        stream: HttpStream,
        account: MessageMemory.Account,
        isSentAhead: Boolean,
    ): Boolean {
        val reader = RequestReader(stream, connection, limits())
        val writer = ResponseWriter(stream, connection)
        val head =
            when (val read = reader.readHead()) {
                is ReadResult.EndOfStream -> return false
                is ReadResult.Failed -> return reject(writer, read)
                is ReadResult.Done -> read.value
            }
        val body =
            when (val read = reader.readBody(head)) {
                is ReadResult.EndOfStream -> return false
                is ReadResult.Failed -> return reject(writer, read)
                is ReadResult.Done -> read.value
            }
        val request = HttpRequest(head.method, head.target, head.headers, body, head.headers.value("Host").orEmpty())
        val watch = DisconnectWatch(stream, connection)
        if (watch.hasClientLeft(network.now())) {
            handler.recordDisconnected(request)
            return false
        }
        val admission = reader.admit(isSentAhead)
        if (admission is ReadResult.Failed) return reject(writer, admission)
        val response = watch.answerUnlessDisconnected { handler.answer(request) } ?: return false
        val isKeepAlive = head.isKeepAlive && !isClosing && !connection.isClosing
        try {
            val message = HttpWriter.encode(response, head.method, isKeepAlive)
            if (!writer.writeInTurn(message, account.heldBytes, watch)) return false
        } catch (error: MessageMemoryException) {
            writer.reject(handler.respondWithoutMemory() ?: throw error)
            return false
        }
        return isKeepAlive
    }

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

    private suspend fun reject(
        writer: ResponseWriter,
        fault: ReadResult.Failed,
    ): Boolean {
        writer.reject(handler.respondToFault(fault.fault, fault.detail))
        return false
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
