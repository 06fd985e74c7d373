package org.celeryusher.node.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.node.call.BackendServerHealth
import org.celeryusher.node.call.BackendServerState
import org.celeryusher.node.call.CallObserver
import org.celeryusher.node.call.CallSide
import org.celeryusher.node.control.LonePlatformReader
import org.celeryusher.node.control.PlatformClient
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** The node beside one backend server: proxy, guard, distributor and member in one. */
public class Node(
    public val settings: NodeSettings,
    private val resources: SharedResources = SharedResources(),
    private val clock: ProcessClock = ProcessClock.SYSTEM,
    random: Random = Random.Default,
) {
    /** This life of the node. */
    public val incarnation: Incarnation = Incarnation((System.currentTimeMillis() shl RANDOM_BITS) or random.nextLong(1L shl RANDOM_BITS))

    /** What this node routes by. */
    public val routing: RoutingState = RoutingState(FleetPlace(settings.dataCentre, settings.service, settings.instance))

    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val calls = CallSide(settings, incarnation, routing, resources, scope, clock, random, CallObserver.NONE)
    private val platform = PlatformClient(resources.httpClient, settings.platform, settings.limits.maximumMessageBytes)
    private val healthInterval = settings.control.healthIntervalMilliseconds.milliseconds
    private val health = BackendServerHealth(resources.httpClient, settings.backendServer, healthInterval, ::serverChanged)
    private val http =
        NodeHttpServer(
            listOf(
                HttpAddress(settings.addresses.callers, calls::answer),
                HttpAddress(settings.addresses.admin) { it.respondText("ready", status = HttpStatusCode.OK) },
            ),
        )

    /** Listens at all addresses and begins to take part in the fleet. */
    public suspend fun start() {
        calls.start()
        http.start()
        scope.launch { health.run() }
        scope.launch { LonePlatformReader(platform, routing, settings.control).run() }
        if (settings.fleetSecret == null) logger.warn { "no fleet secret is set: control messages between nodes are not signed" }
    }

    /**
     * Stops gracefully: tells others, still takes calls for the leave notice, then refuses new ones, lets those in flight end within the drain
     * limit, and closes everything.
     */
    public suspend fun stop() {
        calls.drain()
        delay(settings.control.leaveNoticeMilliseconds.milliseconds)
        calls.finish()
        halt()
    }

    /** Ends at once as a killed process would: tells nobody, waits for nothing. */
    public suspend fun halt() {
        http.stop()
        calls.close()
        job.cancelAndJoin()
    }

    private fun serverChanged(
        before: BackendServerState,
        after: BackendServerState,
    ) {
        when (after) {
            BackendServerState.READY -> if (before != BackendServerState.UNKNOWN) calls.serverStarted()
            BackendServerState.DRAINING -> calls.drain()
            BackendServerState.STARTING, BackendServerState.DOWN, BackendServerState.UNKNOWN -> Unit
        }
    }

    private companion object {
        const val RANDOM_BITS = 20
        val logger = KotlinLogging.logger {}
    }
}
