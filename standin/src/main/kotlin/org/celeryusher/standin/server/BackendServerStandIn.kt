package org.celeryusher.standin.server

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import org.celeryusher.standin.http.ConnectionLimits
import org.celeryusher.standin.http.HttpCall
import org.celeryusher.standin.http.HttpHeader
import org.celeryusher.standin.http.HttpListener
import org.celeryusher.standin.http.HttpReply
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A stand-in of one backend server.
 *
 * It runs calls in its slots, sheds the others with 503 and `Celeryusher-Shed: true` (not run), honours
 * `Celeryusher-Deadline-Milliseconds`, stops work whose caller closes the connection, and answers with [EchoAnswer]. Each start of a
 * call is recorded in the [ledger]. It can be drained, paused, crashed and told to damage its answers.
 */
public class BackendServerStandIn(
    public val instance: InstanceName,
    private val profile: BackendServerProfile = BackendServerProfile(),
    private val ledger: WorkLedger = WorkLedger(),
    private val host: String = "127.0.0.1",
    private val port: Int = 0,
) {
    private val counters = BackendServerCounters()
    private val history = HealthHistory()
    private val random = Random(profile.seed)
    private val paused = MutableStateFlow(false)
    private val previousAnswer = AtomicReference(ByteArray(0))
    private val lifecycle = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val listener = HttpListener(host, ConnectionLimits(profile.connections, profile.connectionCost), ::answer)
    private var boundAddress: Address? = null

    @Volatile
    private var pool = SlotPool(profile.slots, profile.queueLimit)

    @Volatile
    private var startedAt = Moment.DISTANT_PAST

    @Volatile
    private var draining = false

    /** Where the server listens. Stays the same over crashes and restarts. */
    public val address: Address get() = checkNotNull(boundAddress) { "backend server $instance is not started" }

    /** What it has done so far. */
    public val counts: BackendServerCounts get() = counters.snapshot(listener.openConnections, listener.refusedConnections)

    /** How true its health reports are. */
    @Volatile
    public var reporting: LoadReporting = LoadReporting.Exact

    /** How its answers are damaged. */
    @Volatile
    public var answerFault: AnswerFault = AnswerFault.None

    /** Binds the port and returns this. */
    @Synchronized
    public fun start(): BackendServerStandIn {
        pool = SlotPool(profile.slots, profile.queueLimit)
        draining = false
        startedAt = now()
        boundAddress = listener.open(boundAddress?.port ?: port)
        recordHealth()
        return this
    }

    /** Closes the port and each connection at once, and does not start again. */
    @Synchronized
    public fun stop() {
        lifecycle.cancel()
        listener.close()
    }

    /** Takes no new work, finishes what runs and reports `draining`. */
    public fun drain() {
        draining = true
        recordHealth()
    }

    /** Answers nothing until [resume]; requests and connections pile up. */
    public fun pause() {
        paused.value = true
    }

    /** Goes on after [pause]. */
    public fun resume() {
        paused.value = false
    }

    /** Dies abruptly: all running calls and connections are lost. Starts again after the profile's restart time, if it has one. */
    public fun crash() {
        counters.crashes.incrementAndGet()
        logger.info { "backend server $instance crashes" }
        lifecycle.launch {
            listener.close()
            val restartAfter = profile.restartAfter ?: return@launch
            delay(restartAfter)
            startAgain()
        }
    }

    // The port is free only once the selector has let go of the listener that was closed, which under load takes a moment.
    private suspend fun startAgain() {
        while (true) {
            try {
                start()
                return
            } catch (error: java.net.BindException) {
                logger.info { "backend server $instance cannot listen yet: ${error.message}" }
                delay(BIND_RETRY)
            }
        }
    }

    private suspend fun answer(call: HttpCall): HttpReply {
        paused.first { !it }
        if (call.path == "/health") return healthReply()
        counters.requests.incrementAndGet()
        val timeLeft = call.header("Celeryusher-Deadline-Milliseconds")?.toLongOrNull()?.milliseconds
        val slots = pool
        return when {
            trueState() != ServerState.READY -> shedReply(UNAVAILABLE)
            timeLeft != null && timeLeft <= Duration.ZERO -> shedReply(DEADLINE_PASSED)
            !slots.acquire() -> shedReply(UNAVAILABLE)
            else -> runIn(slots, call, timeLeft)
        }
    }

    private suspend fun runIn(
        slots: SlotPool,
        call: HttpCall,
        timeLeft: Duration?,
    ): HttpReply {
        recordHealth()
        counters.runs.incrementAndGet()
        call.parameter("work")?.let(ledger::recordStart)
        var completed = false
        try {
            val reply = run(call, timeLeft) ?: return HttpReply.json(DEADLINE_PASSED, """{"error":"the deadline passed while running"}""")
            completed = true
            return reply
        } finally {
            (if (completed) counters.completed else counters.stopped).incrementAndGet()
            slots.release()
            recordHealth()
        }
    }

    /** Runs [call] and returns its answer, or null when its time ran out. */
    private suspend fun run(
        call: HttpCall,
        timeLeft: Duration?,
    ): HttpReply? {
        if (profile.crashMarkers.any { it in call.target || it in call.body.decodeToString() }) {
            crash()
            awaitCancellation()
        }
        val sampled = synchronized(random) { profile.serviceTimeOf(call.path).sample(random) }
        val serviceTime = sampled * profile.slownessAt(now() - startedAt)
        withTimeoutOrNull(timeLeft ?: Duration.INFINITE) { delay(serviceTime) } ?: return null
        paused.first { !it }
        return echo(call)
    }

    private fun echo(call: HttpCall): HttpReply {
        val body = EchoAnswer.bodyFor(call.method, call.target, call.body)
        val previous = previousAnswer.getAndSet(body)
        val headers = listOf(HttpHeader("Standin-Server", instance.value))
        return when (val fault = answerFault) {
            AnswerFault.None -> HttpReply.Whole(OK, body, headers)
            AnswerFault.Truncated -> HttpReply.WrongLength(OK, body.copyOf(body.size / 2), body.size, headers)
            is AnswerFault.ShortLength -> HttpReply.WrongLength(OK, body, body.size - fault.missing, headers)
            AnswerFault.Crossed -> HttpReply.Whole(OK, previous, headers)
        }
    }

    private suspend fun healthReply(): HttpReply {
        counters.probes.incrementAndGet()
        if (profile.probeCost.isPositive()) delay(profile.probeCost)
        val report =
            when (val reporting = reporting) {
                LoadReporting.Exact -> trueHealth()
                is LoadReporting.Lagging -> history.at(now(), reporting.lag) ?: trueHealth()
                is LoadReporting.Lying -> reporting.report
            }
        return HttpReply.json(OK, Json.encodeToString(report))
    }

    private fun trueHealth(): HealthReport = HealthReport(trueState(), profile.slots, pool.running, pool.queued)

    private fun trueState(): ServerState =
        when {
            draining -> ServerState.DRAINING
            now() - startedAt < profile.startup -> ServerState.STARTING
            else -> ServerState.READY
        }

    private fun recordHealth() {
        history.record(trueHealth(), now())
    }

    private fun shedReply(status: Int): HttpReply {
        counters.shed.incrementAndGet()
        return HttpReply.json(status, """{"error":"not run"}""", listOf(HttpHeader("Celeryusher-Shed", "true")))
    }

    private fun now(): Moment = Moment(System.nanoTime())

    private companion object {
        val BIND_RETRY = 10.milliseconds

        const val OK = 200
        const val UNAVAILABLE = 503
        const val DEADLINE_PASSED = 504
        val logger = KotlinLogging.logger {}
    }
}
