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
import org.celeryusher.kernel.error.isRecoverable
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
 * Keeps one node's configuration and membership up to date.
 *
 * It reads the platform while this node is one of the readers of its data centre, and exchanges messages with other nodes. Each update of
 * the [RoutingState] is one assignment of a complete value. While the platform and all other nodes are unreachable, the last configuration
 * and the last membership stay in use. The kernel makes all decisions; this class and its parts execute them.
 */
public class ControlPlane internal constructor(
    private val settings: NodeSettings,
    incarnation: Incarnation,
    private val routing: RoutingState,
    httpClient: HttpClient,
    private val clock: ProcessClock,
    random: Random,
    extension: GossipExtension,
    private val tuning: ControlTuning,
    decisions: DecisionLog = DecisionLog(settings.instance, clock),
) : FleetControl {
    /** Creates the control plane of the node that [settings] describe, with the [incarnation] of this process. */
    public constructor(
        settings: NodeSettings,
        incarnation: Incarnation,
        routing: RoutingState,
        httpClient: HttpClient,
        clock: ProcessClock,
        random: Random,
        extension: GossipExtension = GossipExtension.None,
        decisions: DecisionLog = DecisionLog(settings.instance, clock),
    ) : this(settings, incarnation, routing, httpClient, clock, random, extension, ControlTuning.of(settings.control), decisions)

    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val maximumBytes = settings.limits.maximumMessageBytes
    private val traffic = ControlTraffic()
    private val signature = settings.fleetSecret?.let { MessageSigner(it) }
    private val platform = PlatformClient(httpClient, settings.platform, maximumBytes)
    private val transport = ControlTransport(httpClient, signature, traffic, maximumBytes)
    private val state = ControlState(settings, incarnation, routing, clock, random, tuning, decisions)
    private val actions = ControlActionExecutor(scope, state, routing, transport, extension, settings.instance.value)
    private val endpoint = ControlEndpoint(state, actions, extension, signature, traffic, maximumBytes)
    private val readsDirectly = settings.control.readsPlatformAlone

    /** Whether new work must wait because this node has started or resumed, and has not received updates from enough peers since. */
    override val needsRefresh: Boolean get() = !readsDirectly && state.needsRefresh

    /** Joins the fleet until [stop] or the end of [scope]. The control address must be bound already. */
    override suspend fun start(scope: CoroutineScope) {
        scope.coroutineContext[Job]?.invokeOnCompletion { job.cancel() }
        if (readsDirectly) {
            this.scope.launch { StandalonePlatformReader(platform, routing, settings.control).run() }
        } else {
            this.scope.launch { runTicks() }
            this.scope.launch { PlatformReadLoop(platform, state, actions, traffic, clock).run() }
        }
    }

    /** Handles one request at the control address and responds to it. */
    public suspend fun answer(call: ApplicationCall): Unit = endpoint.answer(call)

    /**
     * Announces to peers that this node is leaving, so that no node places new work here after a few seconds.
     *
     * It returns when the first peers have answered.
     */
    override suspend fun leave() {
        if (!readsDirectly) deliver(state.leave("a planned stop"))
    }

    /** Announces to peers that this node stops, and ends the control plane. */
    override suspend fun stop() {
        if (!readsDirectly) deliver(state.announceStop())
        job.cancelAndJoin()
    }

    /** Handles the new state of the backend server; this node starts to leave when the backend server drains. */
    override fun updateBackendServerState(serverState: BackendServerState) {
        when (serverState) {
            BackendServerState.DRAINING -> if (!readsDirectly) actions.start(state.leave("the backend server drains"))
            BackendServerState.STARTING, BackendServerState.READY, BackendServerState.DEAD -> Unit
        }
    }

    override fun status(): ControlStatus = status(clock.now())

    override fun status(now: Moment): ControlStatus = state.status(traffic.counts(), now)

    private suspend fun deliver(announcements: List<ControlAction>) {
        withTimeoutOrNull(ANNOUNCEMENT_TIMEOUT) { actions.start(announcements).joinAll() }
    }

    /**
     * Ticks once per interval until cancelled.
     *
     * Missed ticks are skipped, because the membership treats a late tick as a pause of this process.
     */
    private suspend fun runTicks() {
        while (true) {
            val before = clock.now()
            tickSafely()
            delay((tuning.membership.tickInterval - (clock.now() - before)).coerceAtLeast(MINIMUM_SLEEP))
        }
    }

    private fun tickSafely() {
        try {
            actions.start(state.tick())
        } catch (error: CancellationException) {
            throw error
        } catch (error: Throwable) {
            if (!error.isRecoverable) throw error
            logger.error(error) { "control plane tick failed" }
        }
    }

    private companion object {
        val ANNOUNCEMENT_TIMEOUT: Duration = 1_000.milliseconds
        val MINIMUM_SLEEP: Duration = 1.milliseconds
        val logger = KotlinLogging.logger {}
    }
}
