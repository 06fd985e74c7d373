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
import org.celeryusher.standin.http.HttpHeader
import org.celeryusher.standin.http.HttpListener
import org.celeryusher.standin.http.HttpRequest
import org.celeryusher.standin.http.HttpResponse
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A simulated backend server.
 *
 * It runs calls in its slots and answers them with [EchoAnswer]. Calls without a slot are shed with 503 and `Celeryusher-Shed: true`,
 * which means that they did not run. Work is cancelled when the time given by `Celeryusher-Deadline-Milliseconds` is over or the caller
 * disconnects. Each start of a call is recorded in [runCounter]. Tests can drain, pause and crash the server and make it damage its
 * answers.
 */
public class BackendServerStandIn(
    public val instance: InstanceName,
    private val profile: BackendServerProfile = BackendServerProfile(),
    private val runCounter: WorkRunCounter = WorkRunCounter(),
    private val host: String = "127.0.0.1",
    private val port: Int = 0,
) {
    private val counters = BackendServerCounters()
    private val history = HealthHistory()
    private val random = Random(profile.seed)
    private val paused = MutableStateFlow(false)
    private val previousAnswer = AtomicReference(ByteArray(0))
    private val lifecycle = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val listener = HttpListener(host, ConnectionLimits(profile.connections, profile.connectionDelay), ::answer)
    private var boundAddress: Address? = null

    @Volatile
    private var pool = SlotPool(profile.slots, profile.queueLimit)

    @Volatile
    private var startedAt = Moment.DISTANT_PAST

    @Volatile
    private var draining = false

    /** The address that the server listens on. It does not change when the server crashes and restarts. */
    public val address: Address get() = checkNotNull(boundAddress) { "backend server $instance has not been started" }

    /** The current counters. */
    public val counts: BackendServerCounts get() = counters.snapshot(listener.openConnections, listener.refusedConnections)

    /** How health reports relate to the actual state of the server. */
    @Volatile
    public var reporting: HealthReporting = HealthReporting.Exact

    /** The damage done to answers. */
    @Volatile
    public var answerFault: AnswerFault = AnswerFault.None

    /** Binds the port and returns this server. */
    @Synchronized
    public fun start(): BackendServerStandIn {
        pool = SlotPool(profile.slots, profile.queueLimit)
        draining = false
        startedAt = now()
        boundAddress = listener.open(boundAddress?.port ?: port)
        recordHealth()
        return this
    }

    /** Closes the port and all connections immediately. A pending restart is cancelled. */
    @Synchronized
    public fun stop() {
        lifecycle.cancel()
        listener.close()
    }

    /** Sheds new calls, lets running ones complete and reports `draining`. */
    public fun drain() {
        draining = true
        recordHealth()
    }

    /** Suspends all answers until [resume], while connections and requests are still accepted. */
    public fun pause() {
        paused.value = true
    }

    /** Resumes answering after [pause]. */
    public fun resume() {
        paused.value = false
    }

    /** Drops all running calls and connections. The server restarts after [BackendServerProfile.restartAfter], unless that is null. */
    public fun crash() {
        counters.crashes.incrementAndGet()
        logger.info { "backend server $instance crashes" }
        lifecycle.launch {
            listener.close()
            val restartAfter = profile.restartAfter ?: return@launch
            delay(restartAfter)
            restart()
        }
    }

    // The selector releases the port of the closed listener asynchronously. Under load, binding fails until then and is retried.
    private suspend fun restart() {
        while (true) {
            try {
                start()
                return
            } catch (error: java.net.BindException) {
                logger.info { "backend server $instance cannot bind its port yet, retrying: ${error.message}" }
                delay(BIND_RETRY)
            }
        }
    }

    private suspend fun answer(call: HttpRequest): HttpResponse {
        paused.first { !it }
        if (call.path == "/health") return healthResponse()
        counters.requests.incrementAndGet()
        val timeLeft = call.header("Celeryusher-Deadline-Milliseconds")?.toLongOrNull()?.milliseconds
        val slots = pool
        return when {
            currentState() != ServerState.READY -> shedResponse(UNAVAILABLE)
            timeLeft != null && timeLeft <= Duration.ZERO -> shedResponse(DEADLINE_PASSED)
            !slots.acquire() -> shedResponse(UNAVAILABLE)
            else -> runIn(slots, call, timeLeft)
        }
    }

    private suspend fun runIn(
        slots: SlotPool,
        call: HttpRequest,
        timeLeft: Duration?,
    ): HttpResponse {
        recordHealth()
        counters.runs.incrementAndGet()
        call.parameter("work")?.let(runCounter::recordStart)
        var completed = false
        try {
            val response =
                run(call, timeLeft) ?: return HttpResponse.json(DEADLINE_PASSED, """{"error":"the deadline passed while running"}""")
            completed = true
            return response
        } finally {
            (if (completed) counters.completed else counters.stopped).incrementAndGet()
            slots.release()
            recordHealth()
        }
    }

    /** Runs [call] and returns its answer, or null if its deadline passed first. */
    private suspend fun run(
        call: HttpRequest,
        timeLeft: Duration?,
    ): HttpResponse? {
        if (profile.crashMarkers.any { it in call.target || it in call.body.decodeToString() }) {
            crash()
            awaitCancellation()
        }
        val sampled = synchronized(random) { profile.serviceTimeOf(call.path).sample(random) }
        val serviceTime = sampled * profile.slowdownAt(now() - startedAt)
        withTimeoutOrNull(timeLeft ?: Duration.INFINITE) { delay(serviceTime) } ?: return null
        paused.first { !it }
        return echo(call)
    }

    private fun echo(call: HttpRequest): HttpResponse {
        val body = EchoAnswer.bodyFor(call.method, call.target, call.body)
        val previous = previousAnswer.getAndSet(body)
        val headers = listOf(HttpHeader("Standin-Server", instance.value))
        return when (val fault = answerFault) {
            AnswerFault.None -> HttpResponse.Complete(OK, body, headers)
            AnswerFault.Truncated -> HttpResponse.WrongLength(OK, body.copyOf(body.size / 2), body.size, headers)
            is AnswerFault.ShortLength -> HttpResponse.WrongLength(OK, body, body.size - fault.missingBytes, headers)
            AnswerFault.PreviousBody -> HttpResponse.Complete(OK, previous, headers)
        }
    }

    private suspend fun healthResponse(): HttpResponse {
        counters.probes.incrementAndGet()
        if (profile.probeDuration.isPositive()) delay(profile.probeDuration)
        val report =
            when (val reporting = reporting) {
                HealthReporting.Exact -> currentHealth()
                is HealthReporting.Lagging -> history.at(now(), reporting.lag) ?: currentHealth()
                is HealthReporting.Constant -> reporting.report
            }
        return HttpResponse.json(OK, Json.encodeToString(report))
    }

    private fun currentHealth(): HealthReport = HealthReport(currentState(), profile.slots, pool.running, pool.queued)

    private fun currentState(): ServerState =
        when {
            draining -> ServerState.DRAINING
            now() - startedAt < profile.startup -> ServerState.STARTING
            else -> ServerState.READY
        }

    private fun recordHealth() {
        history.record(currentHealth(), now())
    }

    private fun shedResponse(status: Int): HttpResponse {
        counters.shed.incrementAndGet()
        return HttpResponse.json(status, """{"error":"not run"}""", listOf(HttpHeader("Celeryusher-Shed", "true")))
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
