package org.celeryusher.node.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.node.admin.AdminPages
import org.celeryusher.node.admin.StatusReporter
import org.celeryusher.node.admin.statusProviders
import org.celeryusher.node.call.BackendServerClient
import org.celeryusher.node.call.CallProxy
import org.celeryusher.node.call.CallerEndpoint
import org.celeryusher.node.call.FrameClient
import org.celeryusher.node.call.FrameServer
import org.celeryusher.node.call.Guard
import org.celeryusher.node.control.ControlPlane
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.NodeMetrics
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random

/** The node beside one backend server: proxy, guard, distributor and member in one. */
public class Node(
    public val settings: NodeSettings,
    private val resources: SharedResources = SharedResources(),
    private val clock: ProcessClock = ProcessClock.SYSTEM,
    private val random: Random = Random.Default,
) {
    /** This life of the node. */
    public val incarnation: Incarnation = Incarnation((System.currentTimeMillis() shl RANDOM_BITS) or random.nextLong(1L shl RANDOM_BITS))

    /** What this node routes by. */
    public val routing: RoutingState = RoutingState(FleetPlace(settings.dataCentre, settings.service, settings.instance))

    /** The metrics of this node. */
    public val metrics: NodeMetrics = NodeMetrics(routing)

    private val decisions = DecisionLog(settings.instance, clock)
    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val limits = settings.limits
    private val guard =
        Guard(BackendServerClient(resources.httpClient, settings.backendServer, limits.maximumAnswerBytes), clock, incarnation.start)
    private val maximumFrameBytes = maxOf(limits.maximumBodyBytes, limits.maximumAnswerBytes) + limits.maximumHeaderBytes * 2
    private val frameServer = FrameServer(settings.addresses.frames, resources.selector, guard, clock, maximumFrameBytes)
    private val frameClient = FrameClient(resources.selector, scope, clock, maximumFrameBytes)
    private val proxy = CallProxy(settings.instance, routing, guard, frameClient, random)
    private val callers = CallerEndpoint(proxy, clock, limits)

    /** Keeps configuration and membership up to date. */
    public val control: ControlPlane =
        ControlPlane(settings, incarnation, routing, resources.httpClient, clock, random, decisions = decisions)

    private val place = FleetPlace(settings.dataCentre, settings.service, settings.instance)
    private val statusProviders = statusProviders { control { now -> control.status(now) } }
    private val reporter = StatusReporter(place, { incarnation }, clock.now(), routing, metrics, decisions, statusProviders)
    private val admin = AdminPages(place, reporter, metrics, clock)
    private val http =
        NodeHttpServer(
            listOf(
                HttpAddress(settings.addresses.callers, callers::answer),
                HttpAddress(settings.addresses.control, control::answer),
                HttpAddress(settings.addresses.admin, admin::answer),
            ),
        )

    /** Listens at all addresses and begins to take part in the fleet. */
    public suspend fun start() {
        metrics.observeControl { control.status() }
        frameServer.start(scope)
        http.start()
        control.start(scope)
        if (settings.fleetSecret == null) logger.warn { "no fleet secret is set: control messages between nodes are not signed" }
    }

    /** Stops gracefully: takes no new calls, lets those in flight end, then closes everything. */
    public suspend fun stop() {
        control.leave()
        http.stop()
        frameServer.stop()
        frameClient.stop()
        control.stop()
        job.cancelAndJoin()
    }

    /** Ends at once as a killed process would: tells nobody, waits for nothing. */
    public suspend fun halt() {
        frameServer.stop()
        frameClient.stop()
        http.stop()
        job.cancelAndJoin()
    }

    private companion object {
        const val RANDOM_BITS = 20
        val logger = KotlinLogging.logger {}
    }
}
