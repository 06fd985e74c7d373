package org.celeryusher.node.control

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps one node's configuration and membership up to date: reads the platform when it is its turn, and exchanges news with other nodes.
 *
 * What it decides goes to the [RoutingState], whole and in one assignment. When the platform and all other nodes are out of reach it goes on
 * with what it has. All decisions are made by the kernel; this class and its parts carry them out.
 */
public class ControlPlane internal constructor(
    private val settings: NodeSettings,
    incarnation: Incarnation,
    private val routing: RoutingState,
    httpClient: HttpClient,
    private val clock: ProcessClock,
    random: Random,
    extras: GossipExtras,
    private val tuning: ControlTuning,
    decisions: DecisionLog = DecisionLog(settings.instance, clock),
) : FleetControl {
    /** Creates the control plane of the node that [settings] describe, in its life [incarnation]. */
    public constructor(
        settings: NodeSettings,
        incarnation: Incarnation,
        routing: RoutingState,
        httpClient: HttpClient,
        clock: ProcessClock,
        random: Random,
        extras: GossipExtras = GossipExtras.None,
        decisions: DecisionLog = DecisionLog(settings.instance, clock),
    ) : this(settings, incarnation, routing, httpClient, clock, random, extras, ControlTuning.of(settings.control), decisions)

    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val maximumBytes = settings.limits.maximumMessageBytes
    private val traffic = ControlTraffic()
    private val signature = settings.fleetSecret?.let { FleetSignature(it) }
    private val platform = PlatformClient(httpClient, settings.platform, maximumBytes)
    private val transport = ControlTransport(httpClient, signature, traffic, maximumBytes)
    private val state = ControlState(settings, incarnation, routing, clock, random, tuning, decisions)
    private val exchanges = ControlExchanges(scope, state, routing, transport, extras, settings.instance.value)
    private val endpoint = ControlEndpoint(state, exchanges, extras, signature, traffic, maximumBytes)
    private val isAlone = settings.control.readsPlatformAlone

    /** Whether new work must wait because this node has just started or woken up, and has not heard from enough others since. */
    override val needsRefresh: Boolean get() = !isAlone && state.needsRefresh

    /** Begins to take part in the fleet, until [stop] or the end of [scope]. The control address must be listened at already. */
    override suspend fun start(scope: CoroutineScope) {
        scope.coroutineContext[Job]?.invokeOnCompletion { job.cancel() }
        if (isAlone) {
            this.scope.launch { LonePlatformReader(platform, routing, settings.control).run() }
        } else {
            this.scope.launch { tickUntilCancelled() }
            this.scope.launch { PlatformReading(platform, state, exchanges, traffic, clock).run() }
        }
    }

    /** Answers one message at the control address. */
    public suspend fun answer(call: ApplicationCall): Unit = endpoint.answer(call)

    /** Tells peers that this node leaves, so that within seconds nobody places new work here; returns when the first of them know. */
    override suspend fun leave() {
        if (!isAlone) deliver(state.leave("a planned stop"))
    }

    /** Tells peers that this node is gone, and ends all control work. */
    override suspend fun stop() {
        if (!isAlone) deliver(state.stopping())
        job.cancelAndJoin()
    }

    /** Takes in what the backend server beside this node is in; one that drains makes this node a leaver. */
    override fun backendServerState(serverState: BackendServerState) {
        when (serverState) {
            BackendServerState.DRAINING -> if (!isAlone) exchanges.start(state.leave("the backend server drains"))
            BackendServerState.STARTING, BackendServerState.READY, BackendServerState.DEAD -> Unit
        }
    }

    override fun status(): ControlStatus = status(clock.now())

    override fun status(now: Moment): ControlStatus = state.status(traffic.counts(), now)

    private suspend fun deliver(announcements: List<ControlAction>) {
        withTimeoutOrNull(ANNOUNCEMENT_LIMIT) { exchanges.start(announcements).joinAll() }
    }

    /** Sleeps for what is left of each interval and makes up for nothing: the membership sees a late tick as a pause of this process. */
    private suspend fun tickUntilCancelled() {
        while (true) {
            val before = clock.now()
            tickSafely()
            delay((tuning.membership.tickInterval - (clock.now() - before)).coerceAtLeast(SHORTEST_SLEEP))
        }
    }

    private fun tickSafely() {
        try {
            exchanges.start(state.tick())
        } catch (error: CancellationException) {
            throw error
        } catch (error: RuntimeException) {
            logger.error(error) { "a tick of the control work failed" }
        }
    }

    private companion object {
        val ANNOUNCEMENT_LIMIT: Duration = 1_000.milliseconds
        val SHORTEST_SLEEP: Duration = 1.milliseconds
        val logger = KotlinLogging.logger {}
    }
}
