package org.celeryusher.node.call

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.distribution.TransferPatience
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptReference
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.membership.ConnectBackoff
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.http.ResponseHead
import org.celeryusher.node.net.MessageMemory
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.net.await
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A channel to one guard: multiplexes exchanges over a single connection, which is opened on demand. */
internal class GuardChannel(
    private val address: Address,
    private val network: TcpNetwork,
    private val scope: CoroutineScope,
    private val clock: ProcessClock,
    private val maximumFrameBytes: Int,
    private val unmatchedAnswers: AtomicLong,
    private val random: Random,
    private val paths: PathReports,
    private val onLoad: (Address, GuardLoad) -> Unit,
) {
    private val exchanges = AtomicLong()
    private val connectLock = Mutex()

    private val backoff = ConnectBackoff()

    @Volatile
    private var connection: GuardConnection? = null

    @Volatile
    private var isRetired = false

    /** Sends [call] to the guard and returns its reply, or a failure when no answer arrives in time. */
    suspend fun run(call: OutgoingCall): GuardReply {
        val open = openConnection() ?: return failure(ErrorKind.CONNECTION_REFUSED)
        if (call.ticketProcessStart != null && call.ticketProcessStart != open.processStart) return failure(ErrorKind.TICKET_OWNER_GONE)
        val expiry =
            call.deadline.expiryAt(open.clockReadings.leastDelayed(clock.now()), call.oneWayLatency, clock.now())
                ?: return failure(ErrorKind.DEADLINE_BEFORE_START)
        val reference = AttemptReference(call.attempt, open.processStart, expiry)
        val timeout = call.deadline.left(clock.now()) + ANSWER_GRACE
        val answer =
            exchange(open, timeout.inWholeMilliseconds, kindOf(call)) { frameOf(it, call, reference) }
                ?: return failure(ErrorKind.DEADLINE_WHILE_RUNNING)
        val reply = replyOf(answer, open)
        val lost = (reply.result as? CallResult.Failed)?.takeIf { it.kind == ErrorKind.CONNECTION_LOST && answer === GuardConnection.LOST }
        return if (lost == null || call.idempotent) reply else GuardReply(resolve(reference, lost), reply.load)
    }

    /** Requests a ticket for [route]. */
    suspend fun requestTicket(route: RouteName): TicketReply {
        val open = openConnection() ?: return TicketReply.Refused(ErrorKind.CONNECTION_REFUSED)
        return when (val answer = exchange(open, CONTROL_TIMEOUT_MILLISECONDS, ExchangeKind.QUERY) { Frame.TicketRequest(it, route) }) {
            is Frame.TicketIssued -> TicketReply.Issued(answer.ticket, answer.validMilliseconds)
            is Frame.Failure -> TicketReply.Refused(answer.kind)
            else -> TicketReply.Refused(ErrorKind.CONNECTION_REFUSED)
        }
    }

    /** Sends [query] and returns its answer, or why there is none. It waits beyond [timeout] as long as a large answer arrives. */
    suspend fun query(
        query: Frame.SourceQuery,
        timeout: Duration,
    ): SourceReply {
        val open = openConnection() ?: return SourceReply.Unanswered("no connection")
        val before = open.receivedBytes
        val largeBefore = open.receivedLargeBytes
        val patience = TransferPatience(timeout, clock.now())
        val answer =
            exchange(open, ExchangeKind.QUERY, query::withExchange) { answer ->
                patience.await(clock, { open.receivedLargeBytes - largeBefore }, answer::await)
            }
        if (answer !is Frame.SourceUpdate) {
            val reason = if (answer == null) "no whole answer within $timeout" else "the connection was lost"
            return SourceReply.Unanswered(reason, open.receivedBytes - before)
        }
        open.updateClock(answer.uptime)
        return SourceReply.Answered(answer)
    }

    /** Sends [query] and returns its answer, or null when none arrives within [timeout] or the node is of a version that has none. */
    suspend fun query(
        query: Frame.CrashQuery,
        timeout: Duration,
    ): Frame.CrashUpdate? {
        val open = openConnection()?.takeIf { it.answersCrashQueries } ?: return null
        val answer =
            exchange(open, timeout.inWholeMilliseconds, ExchangeKind.QUERY) {
                Frame.CrashQuery(it, query.processStart, query.cursor, query.waitMilliseconds)
            }
        val update = answer as? Frame.CrashUpdate ?: return null
        open.updateClock(update.uptime)
        return update
    }

    /** Asks for [query]. Returns false also when no answer arrives within [timeout], or the node is of a version that grants nothing. */
    suspend fun isGranted(
        query: Frame.RetryQuery,
        timeout: Duration,
    ): Boolean =
        withTimeoutOrNull(timeout) {
            val open = openConnection()?.takeIf { it.grantsRetries }
            val answer =
                open?.let { connected ->
                    exchange(connected, timeout.inWholeMilliseconds, ExchangeKind.QUERY) {
                        Frame.RetryQuery(it, query.service, query.amount, query.waitMilliseconds)
                    }
                }
            (answer as? Frame.RetryGrant)?.isGranted
        } ?: false

    /** Closes the connection once no exchange is pending, since an instance that leaves the fleet still answers its pending calls. */
    fun retire() {
        isRetired = true
        closeIfRetired()
    }

    /** Closes the connection. */
    fun close() {
        connection?.close()
    }

    /**
     * Asks the guard over a new connection whether an attempt ran whose connection was lost.
     *
     * Returns [lost] unless the guard proves that the attempt did not run.
     */
    private suspend fun resolve(
        reference: AttemptReference,
        lost: CallResult.Failed,
    ): CallResult {
        val open = openConnection() ?: return lost
        if (open.processStart != reference.processStart) return lost
        val answer = exchange(open, CONTROL_TIMEOUT_MILLISECONDS, ExchangeKind.QUERY) { Frame.Resolve(it, reference) }
        val kind = (answer as? Frame.Resolution)?.notRun ?: return lost
        return CallResult.Failed(kind, "resolved after the connection broke")
    }

    private suspend fun exchange(
        open: GuardConnection,
        timeoutMilliseconds: Long,
        kind: ExchangeKind,
        frame: (Long) -> Frame,
    ): Frame? = exchange(open, kind, frame) { answer -> withTimeoutOrNull(timeoutMilliseconds) { answer.await() } }

    private suspend fun exchange(
        open: GuardConnection,
        kind: ExchangeKind,
        frame: (Long) -> Frame,
        receive: suspend (CompletableDeferred<Frame>) -> Frame?,
    ): Frame? {
        val exchange = exchanges.incrementAndGet()
        try {
            return open.exchange(exchange, kind, frame(exchange), receive)
        } finally {
            closeIfRetired()
        }
    }

    /** Checks whether the connection has gone silent, and returns whether a ping is unanswered. The next check follows after [interval]. */
    fun checkLiveness(
        now: Moment,
        interval: Duration,
    ): Boolean = connection?.checkLiveness(now, interval) == true

    private fun closeIfRetired() {
        val open = connection ?: return
        if (isRetired && open.isIdle) open.close()
    }

    private fun kindOf(call: OutgoingCall) = if (call.idempotent) ExchangeKind.REPEATABLE_CALL else ExchangeKind.CALL_ONCE

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
            targetMilliseconds = (call.targetDeadline - clock.now() - call.oneWayLatency * 2).inWholeMilliseconds.takeIf { it > 0 },
            host = call.request.host,
            callsPerSecond = call.callsPerSecond,
            kind = call.kind,
            origin = call.origin,
        )

    private suspend fun replyOf(
        frame: Frame,
        open: GuardConnection,
    ): GuardReply =
        when (frame) {
            is Frame.Answer -> {
                open.updateClock(frame.uptime)
                MessageMemory.account()?.take(frame.body.size)
                GuardReply(frame.resultFrom(address), frame.load)
            }

            is Frame.Failure -> {
                open.updateClock(frame.uptime)
                val detail = frame.detail.ifEmpty { "node at $address" }
                val retryAfter = frame.retryAfterMilliseconds?.milliseconds
                GuardReply(CallResult.Failed(frame.kind, detail, retryAfter, frame.refusedForCalls), frame.load, frame.crash)
            }

            is Frame.Hello, is Frame.Call, is Frame.Cancel, is Frame.TicketRequest, is Frame.TicketIssued -> {
                failure(ErrorKind.CONNECTION_LOST)
            }

            is Frame.Resolve, is Frame.Resolution, is Frame.LoadReport, is Frame.SourceQuery, is Frame.SourceUpdate, is Frame.CrashQuery,
            is Frame.CrashUpdate, is Frame.RetryQuery, is Frame.RetryGrant, is Frame.Ping, is Frame.Pong,
            -> {
                failure(ErrorKind.CONNECTION_LOST)
            }
        }

    private fun failure(kind: ErrorKind): GuardReply = GuardReply(CallResult.Failed(kind, "node at $address"), load = null)

    /** Returns a usable connection, or null when there is none and the call should go elsewhere. */
    private suspend fun openConnection(): GuardConnection? {
        usableConnection()?.let { return it.takeUnless(GuardConnection::isSuspected) }
        if (!synchronized(backoff) { backoff.mayWait(clock.now()) }) return null
        return connectLock.withLock { usableConnection() ?: connect().also { connection = it } }
    }

    /** Returns the open connection, unless it is idle and its reading of the guard's clock is too old to be accurate. */
    private fun usableConnection(): GuardConnection? =
        connection?.takeIf { it.isOpen && !it.isReplaced && (!it.isIdle || it.clockReadings.age(clock.now()) < MAXIMUM_CLOCK_READING_AGE) }

    private suspend fun connect(): GuardConnection? {
        connection?.takeUnless { it.isReplaced }?.close()
        synchronized(backoff) {
            if (!backoff.mayWait(clock.now())) return null
            backoff.attemptStarted(clock.now())
        }
        var opened: GuardConnection? = null
        var isFailed = true
        try {
            withTimeout(CONNECT_TIMEOUT) {
                opened = GuardConnection.open(address, network, scope, clock, maximumFrameBytes, unmatchedAnswers, paths, onLoad)
            }
            isFailed = false
        } catch (_: IOException) {
            // Recorded below.
        } catch (_: TimeoutCancellationException) {
            // Recorded below.
        } catch (cancelled: CancellationException) {
            isFailed = false
            opened?.close()
            opened = null
            throw cancelled
        } finally {
            val connected = opened
            synchronized(backoff) {
                when {
                    connected != null -> backoff.connected()
                    isFailed -> backoff.failed(clock.now(), random)
                    else -> backoff.abandoned()
                }
            }
        }
        return opened
    }

    private companion object {
        val CONNECT_TIMEOUT = 500.milliseconds
        val ANSWER_GRACE = 80.milliseconds
        val MAXIMUM_CLOCK_READING_AGE = 30.seconds
        const val CONTROL_TIMEOUT_MILLISECONDS = 500L
    }
}

/** Returns the answer in this frame, which the node at [address] has sent, or a failure if it cannot be the answer of a server. */
internal fun Frame.Answer.resultFrom(address: Address): CallResult =
    when {
        !ResponseHead.isFinalStatus(status) -> CallResult.Failed(ErrorKind.CONNECTION_LOST, "status $status from the node at $address")
        body.size != bodyLength -> CallResult.Failed(ErrorKind.ANSWER_TORN, "${body.size} of $bodyLength bytes from the node at $address")
        else -> CallResult.Answered(status, headers, body)
    }
