package org.celeryusher.node.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.celeryusher.kernel.admission.CallerPort
import org.celeryusher.kernel.admission.LoadReportAudience
import org.celeryusher.kernel.admission.LoadReportFilter
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptState
import org.celeryusher.kernel.execution.Outcome
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.CallerConnection
import org.celeryusher.node.net.CallerLedger
import org.celeryusher.node.net.TcpListener
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.keepRunning
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** Accepts calls from other nodes and passes them to the guard. */
internal class FrameServer(
    private val address: Address,
    private val network: TcpNetwork,
    private val ledger: CallerLedger,
    private val guard: Guard,
    private val processStart: Long,
    private val clock: ProcessClock,
    private val maximumFrameBytes: Int,
    /** Answers the queries of other nodes about the platform's data, or null when this node does not relay it. */
    private val relay: SourceRelay?,
    private val crashes: CrashRegistry,
    private val retries: RetryAccount,
    /** Returns whether this node knows enough of the crashes in the fleet to place calls. */
    private val isInformed: () -> Boolean,
) {
    /** The connections of proxies, with the time of the last call on each. */
    private val connections = ConcurrentHashMap<FrameConnection, Moment>()
    private val calls = AtomicInteger()
    private var listener: TcpListener? = null

    /** The number of calls of other nodes and of frames to them whose sending has not ended. */
    val inFlight: Int get() = calls.get() + connections.keys.filter { it.isOpen }.sumOf { it.unsentFrames }

    /** Binds the address and serves connections in [scope] until [stop]. */
    fun start(scope: CoroutineScope) {
        val server = network.listen(address)
        listener = server
        server.acceptEach { accepted -> ledger.open(accepted, CallerPort.FRAMES)?.let { accept(it, scope) } }
        scope.launch { keepRunning("load reports", ::pushLoadReports) }
    }

    /** Pushes a load report whenever the guard's load has changed enough to affect the choice of endpoints. */
    private suspend fun pushLoadReports() {
        val filter = LoadReportFilter()
        val audience = LoadReportAudience()
        while (true) {
            delay(LOAD_REPORT_INTERVAL)
            val load = guard.load() ?: continue
            val now = clock.now()
            if (!filter.shouldReport(load, now)) continue
            val frame = FrameCodec.encode(Frame.LoadReport(0, guard.loadReport() ?: load))
            val proxies = connections.entries.map { it.key to it.value }
            audience.choose(proxies, now).forEach { it.send(frame) }
        }
    }

    /** Stops listening and closes all connections. */
    fun stop() {
        listener?.close()
        connections.keys.forEach(FrameConnection::close)
    }

    private fun accept(
        accepted: CallerConnection,
        scope: CoroutineScope,
    ) {
        val exchanges = FrameExchanges(scope)
        val connection =
            FrameConnection(
                accepted.tcp,
                maximumFrameBytes,
                network.memory,
                onFrame = { connection, frame -> receive(connection, frame, exchanges) },
                onClosed = { connection, cause -> closed(connection, cause, exchanges) },
                caller = accepted,
            )
        connections[connection] = Moment.DISTANT_PAST
        connection.start(scope)
        connection.send(
            Frame.Hello(0, processStart, guard.uptime(clock.now()), answersCrashQueries = true, grantsRetries = true, answersPings = true),
        )
    }

    private fun receive(
        connection: FrameConnection,
        frame: Frame,
        exchanges: FrameExchanges,
    ) {
        when (frame) {
            is Frame.Call -> {
                runCall(connection, frame, exchanges)
            }

            is Frame.Ping -> {
                connection.send(Frame.Pong())
            }

            is Frame.Cancel -> {
                exchanges.cancel(frame.exchange)
            }

            is Frame.TicketRequest -> {
                connection.send(issueTicket(frame))
            }

            is Frame.Resolve -> {
                connection.send(Frame.Resolution(frame.exchange, provenNotRun(guard.resolve(frame.reference))))
            }

            is Frame.SourceQuery -> {
                answerQuery(connection, frame, exchanges)
            }

            is Frame.CrashQuery -> {
                exchanges.launch(connection, frame.exchange) { answerCrashQuery(frame) }
            }

            is Frame.RetryQuery -> {
                exchanges.launch(connection, frame.exchange) { Frame.RetryGrant(frame.exchange, retries.grant(frame)) }
            }

            is Frame.Hello, is Frame.Answer, is Frame.Failure, is Frame.TicketIssued, is Frame.Resolution, is Frame.LoadReport,
            is Frame.SourceUpdate, is Frame.CrashUpdate, is Frame.RetryGrant, is Frame.Pong,
            -> {
                logger.warn { "dropped a frame from a proxy that only guards may send" }
            }
        }
    }

    private fun issueTicket(frame: Frame.TicketRequest): Frame =
        guard.issueTicket(frame.route).fold(
            { Frame.Failure(frame.exchange, it, "no ticket") },
            { Frame.TicketIssued(frame.exchange, it.encode(), (it.expiresAt - it.issuedAt).inWholeMilliseconds) },
        )

    private fun provenNotRun(state: AttemptState): ErrorKind? = ((state as? AttemptState.Settled)?.outcome as? Outcome.NotRun)?.kind

    private fun runCall(
        connection: FrameConnection,
        frame: Frame.Call,
        exchanges: FrameExchanges,
    ) {
        val now = clock.now()
        connections.replace(connection, now)
        val call =
            GuardCall(
                reference = frame.reference,
                route = frame.route,
                rankPosition = frame.rankPosition,
                idempotent = frame.idempotent,
                request = CallRequest(frame.method, frame.target, frame.headers, frame.body, now, frame.host),
                ticket = frame.ticket,
                suspected = frame.suspected,
                server = frame.server,
                targetDeadline = frame.targetMilliseconds?.let { now + it.milliseconds },
                callsPerSecond = frame.callsPerSecond?.takeIf { it.isFinite() && it >= 0.0 },
                kind = frame.kind,
                origin = frame.origin,
            )
        if (!exchanges.begin(connection, frame.exchange)) return
        calls.incrementAndGet()
        val account = network.memory.open().also { it.take(frame.body.size) }
        exchanges
            .launchBegun(connection, frame.exchange, account) { answerOf(frame.exchange, guard.run(call)) }
            .invokeOnCompletion {
                account.close()
                calls.decrementAndGet()
            }
    }

    private fun answerQuery(
        connection: FrameConnection,
        query: Frame.SourceQuery,
        exchanges: FrameExchanges,
    ) {
        val source = relay ?: return logger.warn { "dropped a query for the platform's data, which this node does not relay" }
        exchanges.launch(connection, query.exchange) { source.answer(query, processStart) { guard.uptime(clock.now()) } }
    }

    private suspend fun answerCrashQuery(query: Frame.CrashQuery): Frame {
        val cursor = query.cursor.takeIf { query.processStart == processStart }
        val wait = query.waitMilliseconds.coerceIn(0, MAXIMUM_QUERY_WAIT_MILLISECONDS).milliseconds
        val batch = crashes.nextBatch(cursor, wait)
        return Frame.CrashUpdate(query.exchange, processStart, batch.cursor, batch.reports, isInformed(), guard.uptime(clock.now()))
    }

    private fun answerOf(
        exchange: Long,
        reply: GuardReply,
    ): Frame {
        val uptime = guard.uptime(clock.now())
        return when (val result = reply.result) {
            is CallResult.Answered -> {
                val load = reply.load?.forAnswerOf(result.body.size)
                Frame.Answer(exchange, result.status, result.headers, result.body, result.body.size, load, uptime)
            }

            is CallResult.Failed -> {
                val retryAfter = result.retryAfter?.inWholeMilliseconds
                Frame.Failure(exchange, result.kind, result.detail, retryAfter, reply.load, uptime, reply.crash, result.refusedForCalls)
            }
        }
    }

    private fun closed(
        connection: FrameConnection,
        cause: Throwable?,
        exchanges: FrameExchanges,
    ) {
        connections -= connection
        if (cause is MalformedFrameException) logger.warn { "${ErrorKind.MESSAGE_MALFORMED}: ${cause.message}; connection closed" }
        exchanges.cancelAll()
    }

    private companion object {
        /**
         * The minimum time between two load reports of this node.
         *
         * It limits load reports to ten per second for each pair of nodes, and [LoadReportFilter] allows them only under load. This bounds
         * the traffic between data centres.
         */
        val LOAD_REPORT_INTERVAL = 100.milliseconds

        /** Limits how long a query of another node occupies memory here. */
        const val MAXIMUM_QUERY_WAIT_MILLISECONDS = 10_000L

        val logger = KotlinLogging.logger {}
    }
}
