package org.celeryusher.node.call

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptReference
import org.celeryusher.kernel.execution.RemoteClock
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What came of asking for a ticket. */
internal sealed interface TicketReply {
    /** [ticket] may be used for [validMilliseconds]. */
    data class Issued(
        val ticket: String,
        val validMilliseconds: Long,
    ) : TicketReply

    /** No ticket, because of [kind]. */
    data class Refused(
        val kind: ErrorKind,
    ) : TicketReply
}

/** The way to one guard: a connection that is opened when needed, and the exchanges that wait on it. */
internal class GuardChannel(
    private val address: Address,
    private val network: TcpNetwork,
    private val scope: CoroutineScope,
    private val clock: ProcessClock,
    private val maximumFrameBytes: Int,
    private val strayAnswers: AtomicLong,
    private val onLoad: (Address, GuardLoad) -> Unit,
) {
    private val exchanges = AtomicLong()
    private val opening = Mutex()

    @Volatile
    private var connection: OpenConnection? = null

    @Volatile
    private var isRetired = false

    /** Runs [call] on the guard. */
    suspend fun run(call: OutgoingCall): GuardReply {
        val open = openConnection() ?: return failure(ErrorKind.CONNECTION_REFUSED)
        if (call.ticketProcessStart != null && call.ticketProcessStart != open.processStart) return failure(ErrorKind.TICKET_OWNER_GONE)
        val expiry = call.deadline.expiryAt(open.remoteClock, call.oneWay, clock.now()) ?: return failure(ErrorKind.DEADLINE_BEFORE_START)
        val reference = AttemptReference(call.attempt, open.processStart, expiry)
        val patience = call.deadline.left(clock.now()) + ANSWER_GRACE
        val answer =
            exchange(open, patience.inWholeMilliseconds) { frameOf(it, call, reference) }
                ?: return failure(ErrorKind.DEADLINE_WHILE_RUNNING)
        val reply = replyOf(answer, open)
        val lost = (reply.result as? CallResult.Failed)?.takeIf { it.kind == ErrorKind.CONNECTION_LOST && answer === LOST }
        return if (lost == null || call.idempotent) reply else GuardReply(resolve(reference, lost), reply.load)
    }

    /** Asks for a ticket for [route]. */
    suspend fun requestTicket(route: RouteName): TicketReply {
        val open = openConnection() ?: return TicketReply.Refused(ErrorKind.CONNECTION_REFUSED)
        return when (val answer = exchange(open, CONTROL_PATIENCE_MILLISECONDS) { Frame.TicketRequest(it, route) }) {
            is Frame.TicketIssued -> TicketReply.Issued(answer.ticket, answer.validMilliseconds)
            is Frame.Failure -> TicketReply.Refused(answer.kind)
            else -> TicketReply.Refused(ErrorKind.CONNECTION_REFUSED)
        }
    }

    /** Closes the connection once no exchange waits on it: a backend server that leaves the list still answers what it has. */
    fun retire() {
        isRetired = true
        closeIfRetired()
    }

    /** Closes the connection. */
    fun close() {
        connection?.frames?.close()
    }

    /** Asks over a new connection what became of an attempt whose connection broke. */
    private suspend fun resolve(
        reference: AttemptReference,
        lost: CallResult.Failed,
    ): CallResult {
        val open = openConnection() ?: return lost
        if (open.processStart != reference.processStart) return lost
        val answer = exchange(open, CONTROL_PATIENCE_MILLISECONDS) { Frame.Resolve(it, reference) }
        val kind = (answer as? Frame.Resolution)?.notRun ?: return lost
        return CallResult.Failed(kind, "resolved after the connection broke")
    }

    private suspend fun exchange(
        open: OpenConnection,
        patienceMilliseconds: Long,
        frame: (Long) -> Frame,
    ): Frame? {
        val exchange = exchanges.incrementAndGet()
        val waiting = CompletableDeferred<Frame>()
        open.waiting[exchange] = waiting
        try {
            if (!open.frames.sendWaiting(frame(exchange))) return NOT_SENT
            if (!open.frames.isOpen) waiting.complete(LOST)
            return withTimeoutOrNull(patienceMilliseconds) { waiting.await() }
        } finally {
            open.waiting.remove(exchange)
            if (!waiting.isCompleted) open.frames.send(Frame.Cancel(exchange))
            closeIfRetired()
        }
    }

    private fun closeIfRetired() {
        val open = connection ?: return
        if (isRetired && open.waiting.isEmpty()) open.frames.close()
    }

    private fun frameOf(
        exchange: Long,
        call: OutgoingCall,
        reference: AttemptReference,
    ): Frame.Call =
        Frame.Call(
            exchange = exchange,
            reference = reference,
            route = call.route,
            rankPosition = call.rankPosition,
            idempotent = call.idempotent,
            method = call.request.method,
            target = call.request.target,
            headers = call.request.headers,
            body = call.request.body,
            ticket = call.ticket,
            suspected = call.suspected,
            server = call.server,
            targetMilliseconds = (call.targetEnd - clock.now() - call.oneWay * 2).inWholeMilliseconds.takeIf { it > 0 },
            host = call.request.host,
        )

    private fun replyOf(
        frame: Frame,
        open: OpenConnection,
    ): GuardReply =
        when (frame) {
            is Frame.Answer -> {
                open.heard(frame.uptime, clock)
                GuardReply(wholeAnswer(frame), frame.load)
            }

            is Frame.Failure -> {
                open.heard(frame.uptime, clock)
                val detail = frame.detail.ifEmpty { "node at $address" }
                GuardReply(CallResult.Failed(frame.kind, detail, frame.retryAfterMilliseconds?.milliseconds), frame.load, frame.crashes)
            }

            is Frame.Hello, is Frame.Call, is Frame.Cancel, is Frame.TicketRequest, is Frame.TicketIssued -> {
                failure(ErrorKind.CONNECTION_LOST)
            }

            is Frame.Resolve, is Frame.Resolution, is Frame.News -> {
                failure(ErrorKind.CONNECTION_LOST)
            }
        }

    private fun wholeAnswer(frame: Frame.Answer): CallResult =
        if (frame.body.size == frame.bodyLength) {
            CallResult.Answered(frame.status, frame.headers, frame.body)
        } else {
            CallResult.Failed(ErrorKind.ANSWER_TORN, "${frame.body.size} of ${frame.bodyLength} bytes from the node at $address")
        }

    private fun failure(kind: ErrorKind): GuardReply = GuardReply(CallResult.Failed(kind, "node at $address"), load = null)

    private suspend fun openConnection(): OpenConnection? {
        usableConnection()?.let { return it }
        return opening.withLock { usableConnection() ?: connect().also { connection = it } }
    }

    /** A reading of the guard's clock grows uncertain with its age, so an idle connection is replaced before its reading is too old. */
    private fun usableConnection(): OpenConnection? =
        connection?.takeIf { it.frames.isOpen && (it.waiting.isNotEmpty() || clock.now() - it.remoteClock.receivedAt < CLOCK_READING_AGE) }

    private suspend fun connect(): OpenConnection? {
        connection?.frames?.close()
        return try {
            withTimeout(CONNECT_TIMEOUT) { connectAndGreet() }
        } catch (_: IOException) {
            null
        } catch (_: TimeoutCancellationException) {
            null
        }
    }

    private suspend fun connectAndGreet(): OpenConnection {
        val connection = network.connect(address)
        val greeting = CompletableDeferred<Frame.Hello>()
        val waiting = ConcurrentHashMap<Long, CompletableDeferred<Frame>>()
        val frames =
            FrameConnection(
                connection,
                maximumFrameBytes,
                onFrame = { _, frame ->
                    when (frame) {
                        is Frame.Hello -> greeting.complete(frame)
                        is Frame.News -> onLoad(address, frame.load)
                        else -> receive(frame, waiting)
                    }
                },
                onClosed = { _, cause ->
                    greeting.completeExceptionally(IOException("connection to $address ended", cause))
                    failAll(waiting)
                },
            )
        frames.start(scope)
        try {
            val hello = greeting.await()
            return OpenConnection(frames, waiting, hello.processStart, RemoteClock(hello.uptime, clock.now()))
        } finally {
            if (!greeting.isCompleted) frames.close()
        }
    }

    private fun receive(
        frame: Frame,
        waiting: ConcurrentHashMap<Long, CompletableDeferred<Frame>>,
    ) {
        val call = waiting.remove(frame.exchange)
        if (call == null) strayAnswers.incrementAndGet() else call.complete(frame)
    }

    private fun failAll(waiting: ConcurrentHashMap<Long, CompletableDeferred<Frame>>) {
        waiting.values.forEach { it.complete(LOST) }
        waiting.clear()
    }

    private class OpenConnection(
        val frames: FrameConnection,
        val waiting: ConcurrentHashMap<Long, CompletableDeferred<Frame>>,
        val processStart: Long,
        @Volatile var remoteClock: RemoteClock,
    ) {
        fun heard(
            uptime: Uptime?,
            clock: ProcessClock,
        ) {
            if (uptime != null) remoteClock = RemoteClock(uptime, clock.now())
        }
    }

    private companion object {
        val CONNECT_TIMEOUT = 500.milliseconds
        val ANSWER_GRACE = 80.milliseconds
        val CLOCK_READING_AGE = 30.seconds
        const val CONTROL_PATIENCE_MILLISECONDS = 500L

        /** Stands for the answer of a call that was sent on a connection which then broke. */
        val LOST = Frame.Failure(0, ErrorKind.CONNECTION_LOST, "")

        /** Stands for the answer of a call that was never sent. */
        val NOT_SENT = Frame.Failure(0, ErrorKind.CONNECTION_REFUSED, "")
    }
}
