package org.celeryusher.standin.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.celeryusher.kernel.configuration.ConfigurationDocument
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import org.celeryusher.standin.http.ConnectionLimits
import org.celeryusher.standin.http.HttpHeader
import org.celeryusher.standin.http.HttpListener
import org.celeryusher.standin.http.HttpRequest
import org.celeryusher.standin.http.HttpResponse
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Options of a platform stand-in. A [port] of 0 selects a free port. */
public data class PlatformOptions(
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    /** Maximum number of calls in one second; further calls are answered with 429. */
    public val callsPerSecond: Int = 2_000,
    /** Delay after which readers see a change of the instance list. */
    public val instanceListLag: Duration = Duration.ZERO,
)

/**
 * A simulated platform: a read-only configuration service with watches, and an instance list that readers see with a delay.
 *
 * Readers use `GET /configuration` and `GET /instances`. Operators use [publish], [setInstances] and [markLeaving], which are not
 * available on the readers' port. A pending watch occupies one connection and one suspended coroutine. All watches share the bytes of
 * the document, and each connection uses at most one write buffer.
 */
public class PlatformStandIn(
    private val options: PlatformOptions = PlatformOptions(),
) {
    private val state = MutableStateFlow(PlatformState())
    private val counter = PlatformCallCounter(options.callsPerSecond)
    private val instances = InstanceListHistory()
    private val callNumbers = AtomicLong()
    private val openWatchCount = AtomicInteger()
    private val listener = HttpListener(options.host, ConnectionLimits(), ::answer)
    private var boundAddress: Address? = null

    /** The address for readers. It does not change while a fault keeps the port closed. */
    public val address: Address get() = checkNotNull(boundAddress) { "the platform stand-in has not been started" }

    /** Numbers of calls received so far. */
    public val counts: PlatformCallCounts get() = counter.snapshot()

    /** Number of pending watches. */
    public val openWatches: Int get() = openWatchCount.get()

    /** The version published last, or null before the first publication. Faults may hide it from readers. */
    public val publishedVersion: Long? get() =
        state.value.versions
            .lastOrNull()
            ?.version

    /** The current instance list, without delay. */
    public val instanceList: PlatformInstanceList get() = instances.current

    /** The active faults. A change takes effect immediately, also for pending watches. */
    public var faults: List<PlatformFault>
        get() = state.value.faults
        set(value) = applyFaults(value)

    /** Binds the port and returns this platform. */
    public fun start(): PlatformStandIn {
        boundAddress = listener.open(options.port)
        return this
    }

    /** Closes the port and all connections. */
    public fun stop() {
        listener.close()
    }

    /**
     * Publishes the bytes of a document without validation and returns the version under which they are stored.
     *
     * Bytes without a readable `version` are stored under the version that follows the last one.
     */
    public fun publish(document: ByteArray): Long {
        val version = versionOf(document) ?: ((publishedVersion ?: 0) + 1)
        state.update { it.withVersion(PublishedVersion(version, document)) }
        logger.info { "published version $version, ${document.size} bytes" }
        return version
    }

    /** Publishes [document]. */
    public fun publish(document: ConfigurationDocument): Long = publish(Json.encodeToString(document).encodeToByteArray())

    /** Replaces the instance list. Readers see the change after the configured delay. */
    public fun setInstances(list: List<PlatformInstance>) {
        instances.replace(list, now())
    }

    /** Marks [instance] as leaving. Readers see the change after the configured delay. */
    public fun markLeaving(instance: InstanceName) {
        instances.markLeaving(instance, now())
    }

    @Synchronized
    private fun applyFaults(faults: List<PlatformFault>) {
        val wasClosed = PlatformFault.ConnectionRefused in state.value.faults
        val closes = PlatformFault.ConnectionRefused in faults
        state.update { it.copy(faults = faults) }
        if (closes && !wasClosed) listener.close()
        if (wasClosed && !closes) listener.open(address.port)
    }

    private suspend fun answer(call: HttpRequest): HttpResponse {
        val kind = kindOf(call) ?: return HttpResponse.json(NOT_FOUND, """{"error":"no such resource"}""")
        if (!counter.admit(kind, now())) return HttpResponse.json(TOO_MANY_REQUESTS, RATE_MESSAGE, listOf(HttpHeader("Retry-After", "1")))
        if (state.value.isUnavailable) return unavailable()
        state.value.answerDelay
            .takeIf(Duration::isPositive)
            ?.let { delay(it) }
        return when (kind) {
            PlatformCallKind.CONFIGURATION_READ -> configurationResponse()
            PlatformCallKind.WATCH -> watchResponse(call)
            PlatformCallKind.INSTANCE_LIST -> instanceListResponse()
        }
    }

    private fun kindOf(call: HttpRequest): PlatformCallKind? =
        when {
            call.method != "GET" -> null
            call.path == "/instances" -> PlatformCallKind.INSTANCE_LIST
            call.path != "/configuration" -> null
            call.parameter("after") != null -> PlatformCallKind.WATCH
            else -> PlatformCallKind.CONFIGURATION_READ
        }

    private suspend fun watchResponse(call: HttpRequest): HttpResponse {
        val after = call.parameter("after")?.toLongOrNull() ?: return badRequest("after")
        val wait = (call.parameter("waitMilliseconds") ?: "0").toLongOrNull() ?: return badRequest("waitMilliseconds")
        openWatchCount.incrementAndGet()
        try {
            val due = state.value.answersWatch(after) || awaitWatchAnswer(after, wait.milliseconds.coerceAtMost(LONGEST_WATCH))
            return if (due) configurationResponse() else HttpResponse.Complete(NO_CONTENT)
        } finally {
            openWatchCount.decrementAndGet()
        }
    }

    private suspend fun awaitWatchAnswer(
        after: Long,
        wait: Duration,
    ): Boolean = withTimeoutOrNull(wait) { state.first { it.answersWatch(after) } } != null

    private fun configurationResponse(): HttpResponse {
        val current = state.value
        if (current.isUnavailable) return unavailable()
        val served =
            current.versionFor(callNumbers.getAndIncrement())
                ?: return HttpResponse.json(NOT_FOUND, """{"error":"nothing is published"}""")
        val kept = (served.bytes.size * current.keptShare).toInt()
        return if (kept < served.bytes.size) {
            HttpResponse.WrongLength(OK, served.bytes.copyOf(kept), served.bytes.size, jsonType)
        } else {
            HttpResponse.Complete(OK, served.bytes, jsonType)
        }
    }

    private fun instanceListResponse(): HttpResponse {
        val lag = state.value.listLag ?: options.instanceListLag
        return HttpResponse.json(OK, listFormat.encodeToString(instances.visibleAt(now(), lag)))
    }

    private fun unavailable(): HttpResponse = HttpResponse.json(UNAVAILABLE, """{"error":"the platform is down"}""")

    private fun badRequest(parameter: String): HttpResponse = HttpResponse.json(BAD_REQUEST, """{"error":"$parameter is not a number"}""")

    private fun now(): Moment = Moment(System.nanoTime())

    private companion object {
        const val OK = 200
        const val NO_CONTENT = 204
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        const val RATE_MESSAGE = """{"error":"over the call rate"}"""
        val LONGEST_WATCH = 120.seconds
        val jsonType = listOf(HttpHeader("Content-Type", "application/json"))
        val listFormat = Json { encodeDefaults = true }
        val logger = KotlinLogging.logger {}

        fun versionOf(document: ByteArray): Long? =
            runCatching {
                Json
                    .parseToJsonElement(document.decodeToString())
                    .jsonObject["version"]
                    ?.jsonPrimitive
                    ?.longOrNull
            }.getOrNull()
    }
}
