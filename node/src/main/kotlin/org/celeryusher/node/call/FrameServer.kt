package org.celeryusher.node.call

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Takes calls from other nodes and hands them to the guard. */
internal class FrameServer(
    private val address: Address,
    private val selector: SelectorManager,
    private val guard: Guard,
    private val clock: ProcessClock,
    private val maximumFrameBytes: Int,
) {
    private val connections = ConcurrentHashMap.newKeySet<FrameConnection>()
    private var listener: ServerSocket? = null

    /** Binds the address and takes connections in [scope] until [stop]. */
    suspend fun start(scope: CoroutineScope) {
        val server = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        listener = server
        scope.launch { acceptConnections(server, scope) }
    }

    /** Stops taking connections and closes those that stand. */
    fun stop() {
        listener?.close()
        connections.forEach(FrameConnection::close)
    }

    private suspend fun acceptConnections(
        server: ServerSocket,
        scope: CoroutineScope,
    ) {
        try {
            while (true) {
                val running = ConcurrentHashMap<Long, Job>()
                val connection =
                    FrameConnection(
                        server.accept(),
                        maximumFrameBytes,
                        onFrame = { connection, frame -> receive(connection, frame, running, scope) },
                        onClosed = { connection, cause -> closed(connection, cause, running) },
                    )
                connections += connection
                connection.start(scope)
            }
        } catch (error: IOException) {
            logger.debug(error) { "frame listener ended" }
        }
    }

    private fun receive(
        connection: FrameConnection,
        frame: Frame,
        running: ConcurrentHashMap<Long, Job>,
        scope: CoroutineScope,
    ) {
        when (frame) {
            is Frame.Call -> runCall(connection, frame, running, scope)
            is Frame.Cancel -> running[frame.exchange]?.cancel()
            is Frame.Answer, is Frame.Failure -> logger.warn { "a caller of frames sent an answer; dropped" }
        }
    }

    private fun runCall(
        connection: FrameConnection,
        frame: Frame.Call,
        running: ConcurrentHashMap<Long, Job>,
        scope: CoroutineScope,
    ) {
        val now = clock.now()
        val request = CallRequest(frame.method, frame.target, frame.headers, frame.body, now)
        val call =
            GuardCall(
                attempt = frame.attempt,
                route = RouteName(frame.route),
                rankPosition = frame.rankPosition,
                request = request,
                deadline = now + frame.millisecondsLeft.milliseconds,
                incarnationStart = frame.incarnationStart,
                ticket = frame.ticket,
            )
        val job =
            scope.launch(
                start = kotlinx.coroutines.CoroutineStart.LAZY,
            ) { connection.sendWaiting(answerOf(frame.exchange, guard.run(call))) }
        running[frame.exchange] = job
        job.invokeOnCompletion { running.remove(frame.exchange) }
        job.start()
    }

    private fun answerOf(
        exchange: Long,
        result: CallResult,
    ): Frame =
        when (result) {
            is CallResult.Answered -> Frame.Answer(exchange, result.status, result.headers, result.body, result.body.size)
            is CallResult.Failed -> Frame.Failure(exchange, result.kind, result.detail, result.retryAfter?.inWholeMilliseconds)
        }

    private fun closed(
        connection: FrameConnection,
        cause: Throwable?,
        running: ConcurrentHashMap<Long, Job>,
    ) {
        connections -= connection
        if (cause is MalformedFrameException) logger.warn { "${ErrorKind.MESSAGE_MALFORMED}: ${cause.message}; connection closed" }
        running.values.forEach(Job::cancel)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
