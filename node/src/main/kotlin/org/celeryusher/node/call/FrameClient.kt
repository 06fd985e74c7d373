package org.celeryusher.node.call

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends calls to the guards of other instances over one kept connection for each. */
internal class FrameClient(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val clock: ProcessClock,
    private val maximumFrameBytes: Int,
) {
    private val channels = ConcurrentHashMap<Address, GuardChannel>()

    /** How many answers came that no call waited for: late or crossed ones. */
    val strayAnswers: AtomicLong = AtomicLong()

    /** Runs [call] on the guard at [address]. */
    suspend fun run(
        address: Address,
        call: GuardCall,
    ): CallResult = channels.computeIfAbsent(address) { GuardChannel(it) }.run(call)

    /** Closes all connections. */
    fun stop(): Unit = channels.values.forEach(GuardChannel::close)

    private inner class GuardChannel(
        private val address: Address,
    ) {
        private val exchanges = AtomicLong()
        private val opening = Mutex()

        @Volatile
        private var connection: OpenConnection? = null

        suspend fun run(call: GuardCall): CallResult {
            val open = openConnection() ?: return CallResult.Failed(ErrorKind.CONNECTION_REFUSED, "node at $address")
            val exchange = exchanges.incrementAndGet()
            val waiting = CompletableDeferred<CallResult>()
            open.waiting[exchange] = waiting
            if (!open.frames.sendWaiting(frameOf(exchange, call))) {
                open.waiting.remove(exchange)
                return CallResult.Failed(ErrorKind.CONNECTION_REFUSED, "node at $address")
            }
            return awaitAnswer(open, exchange, waiting, call)
        }

        fun close() {
            connection?.frames?.close()
        }

        private suspend fun awaitAnswer(
            open: OpenConnection,
            exchange: Long,
            waiting: CompletableDeferred<CallResult>,
            call: GuardCall,
        ): CallResult {
            try {
                val patience = (call.deadline - clock.now()).coerceAtLeast(Duration.ZERO) + ANSWER_GRACE
                return withTimeoutOrNull(patience) { waiting.await() }
                    ?: CallResult.Failed(ErrorKind.DEADLINE_WHILE_RUNNING, "no answer from the node at $address")
            } finally {
                open.waiting.remove(exchange)
                if (!waiting.isCompleted) open.frames.send(Frame.Cancel(exchange))
            }
        }

        private fun frameOf(
            exchange: Long,
            call: GuardCall,
        ): Frame.Call =
            Frame.Call(
                exchange = exchange,
                incarnationStart = call.incarnationStart,
                attempt = call.attempt,
                rankPosition = call.rankPosition,
                method = call.request.method,
                target = call.request.target,
                headers = call.request.headers,
                body = call.request.body,
                millisecondsLeft = millisecondsLeft(call.deadline),
                route = call.route.value,
                ticket = call.ticket,
            )

        private fun millisecondsLeft(deadline: Moment): Long = (deadline - clock.now()).inWholeMilliseconds.coerceAtLeast(0)

        private suspend fun openConnection(): OpenConnection? {
            connection?.takeIf { it.frames.isOpen }?.let { return it }
            return opening.withLock { connection?.takeIf { it.frames.isOpen } ?: connect().also { connection = it } }
        }

        private suspend fun connect(): OpenConnection? =
            try {
                val socket = withTimeout(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true } }
                val waiting = ConcurrentHashMap<Long, CompletableDeferred<CallResult>>()
                val frames =
                    FrameConnection(
                        socket,
                        maximumFrameBytes,
                        onFrame = { _, frame -> receive(frame, waiting) },
                        onClosed = { _, _ -> failAll(waiting) },
                    )
                frames.start(scope)
                OpenConnection(frames, waiting)
            } catch (_: IOException) {
                null
            } catch (_: TimeoutCancellationException) {
                null
            }

        private fun receive(
            frame: Frame,
            waiting: ConcurrentHashMap<Long, CompletableDeferred<CallResult>>,
        ) {
            val result =
                when (frame) {
                    is Frame.Answer -> wholeAnswer(frame)
                    is Frame.Failure -> CallResult.Failed(frame.kind, frame.detail, frame.retryAfterMilliseconds?.milliseconds)
                    is Frame.Call, is Frame.Cancel -> return
                }
            val call = waiting.remove(frame.exchange)
            if (call == null) strayAnswers.incrementAndGet() else call.complete(result)
        }

        private fun wholeAnswer(frame: Frame.Answer): CallResult =
            if (frame.body.size == frame.bodyLength) {
                CallResult.Answered(frame.status, frame.headers, frame.body)
            } else {
                CallResult.Failed(ErrorKind.ANSWER_TORN, "${frame.body.size} of ${frame.bodyLength} bytes from the node at $address")
            }

        private fun failAll(waiting: ConcurrentHashMap<Long, CompletableDeferred<CallResult>>) {
            waiting.values.forEach { it.complete(CallResult.Failed(ErrorKind.CONNECTION_LOST, "node at $address")) }
            waiting.clear()
        }
    }

    private class OpenConnection(
        val frames: FrameConnection,
        val waiting: ConcurrentHashMap<Long, CompletableDeferred<CallResult>>,
    )

    private companion object {
        val CONNECT_TIMEOUT = 500.milliseconds
        val ANSWER_GRACE = 50.milliseconds
    }
}
