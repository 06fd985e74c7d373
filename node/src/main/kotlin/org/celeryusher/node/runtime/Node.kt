package org.celeryusher.node.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.encodeToJsonElement
import org.celeryusher.kernel.admission.CallerPort
import org.celeryusher.kernel.configuration.CallerLimits
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.distribution.ConfigurationLimit
import org.celeryusher.kernel.distribution.ConfigurationRecency
import org.celeryusher.kernel.distribution.ConfigurationUse
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.shutdown.StopPhase
import org.celeryusher.kernel.shutdown.StopSchedule
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.admin.AdminPages
import org.celeryusher.node.admin.HedgeStatus
import org.celeryusher.node.admin.StatusReporter
import org.celeryusher.node.admin.statusProviders
import org.celeryusher.node.call.BackendServerHealthMonitor
import org.celeryusher.node.call.CallHeaders
import org.celeryusher.node.call.DataPlane
import org.celeryusher.node.call.FleetKnowledge
import org.celeryusher.node.call.SourceRelay
import org.celeryusher.node.control.BackendServerState
import org.celeryusher.node.control.ControlPlane
import org.celeryusher.node.control.FleetControl
import org.celeryusher.node.http.ConnectionLimits
import org.celeryusher.node.http.HttpConnectionPool
import org.celeryusher.node.http.HttpListener
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.NodeMetrics
import org.celeryusher.node.net.CallerLedger
import org.celeryusher.node.settings.NodeSettings
import org.celeryusher.node.source.DocumentDefaults
import org.celeryusher.node.source.HttpPlatformTransport
import org.celeryusher.node.source.PlatformAdapter
import org.celeryusher.node.source.PlatformAdapters
import org.celeryusher.node.source.PlatformFleetControl
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A node in front of one backend server: proxy, admission control (guard), configuration distribution and fleet membership. */
public class Node(
    public val settings: NodeSettings,
    resources: SharedResources = SharedResources(),
    private val clock: ProcessClock = ProcessClock.SYSTEM,
    random: Random = Random.Default,
) {
    /** The incarnation of this node at its start. */
    public val incarnation: Incarnation = Incarnation((System.currentTimeMillis() shl RANDOM_BITS) or random.nextLong(1L shl RANDOM_BITS))

    private val place = FleetPlace(settings.dataCentre, settings.service, settings.instance)

    /** The configuration and the membership view that this node routes with. */
    public val routing: RoutingState = RoutingState(place, settings.regions.orEmpty())

    /** The metrics of this node. */
    public val metrics: NodeMetrics = NodeMetrics(routing)

    private val decisions = DecisionLog(settings.instance, clock)
    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val adapter = settings.platformAdapter?.let(PlatformAdapters::named)
    private val headers = adapter?.headers ?: CallHeaders()
    private val relay = if (adapter == null) null else SourceRelay(clock)

    init {
        settings.machine.linkMegabitsPerSecond
            ?.takeIf { it > 0.0 }
            ?.let(resources.network::limitLink)
        resources.network.linkStatus?.let { limited -> metrics.registerLinkMeters { resources.network.linkStatus ?: limited } }
    }

    private val callerLimits = settings.callerBudget.limitsOn(settings.machine, resources.network.memory.budget.capacity)
    private val callerReports = CallerReports(metrics.callers, decisions, clock)
    private val ledger = CallerLedger(resources.network.memory, callerLimits, clock, callerReports)
    private val configurationLimit = ConfigurationLimit(settings.bounds.configurationApply ?: ConfigurationLimit.DEFAULT_LIMIT)
    private val knowledge =
        object : FleetKnowledge {
            override suspend fun awaitRefresh(): Unit = awaitFreshView()

            override fun configurationRecency(now: Moment): ConfigurationRecency? = control.configurationRecency(now)

            override fun useOf(recency: ConfigurationRecency?): ConfigurationUse = configurationLimit.useOf(recency)
        }
    private val dataPlane: DataPlane =
        DataPlane(
            settings,
            incarnation,
            routing,
            resources,
            scope,
            clock,
            random,
            metrics,
            decisions,
            headers,
            relay,
            ledger,
            knowledge,
        )

    /** Keeps the configuration and the membership view up to date. */
    public val control: FleetControl =
        if (adapter == null || relay == null) controlPlane(resources, random) else platformControl(adapter, relay, resources, random)

    @Volatile
    private var isStopping = false

    private val statusProviders =
        statusProviders {
            control { now -> control.status(now) }
            guardLoad { dataPlane.load }
            section("cold") { dataPlane.cold.describe() }
            section("pace") { dataPlane.pace.describe() }
            stopping { isStopping }
            configurationUse { now -> configurationLimit.useOf(control.configurationRecency(now)) }
            section("hedging") { HedgeStatus.describe(dataPlane.hedgeSummaries, metrics.hedges) }
            section("callers") { callerReports.describe(ledger.usage, callerLimits) }
            resources.network.linkStatus?.let { limited ->
                section("link") { Json.encodeToJsonElement(resources.network.linkStatus ?: limited) }
            }
            (control as? PlatformFleetControl)?.let { platform ->
                section("source") { now -> Json.encodeToJsonElement(platform.sourceStatus(now)) }
            }
            section("runs") { now -> dataPlane.describeRuns(now) }
        }
    private val reporter = StatusReporter(place, { incarnation }, clock.now(), routing, metrics, decisions, statusProviders)
    private val pages = AdminPages(place, reporter, metrics, clock, dataPlane.routeInquiry)
    private val admin = HttpListener(settings.addresses.admin, resources.network, ::CallerLimits, pages, ledger, CallerPort.ADMIN)
    private val controlServer =
        (control as? ControlPlane)?.let {
            NodeHttpServer(
                listOf(HttpAddress(settings.addresses.control, it::answer)),
            )
        }
    private val health =
        if (adapter == null) {
            val interval = settings.control.healthIntervalMilliseconds.milliseconds
            BackendServerHealthMonitor(resources.httpClient, settings.backendServer, interval, ::handleServerState)
        } else {
            null
        }

    /** Listens at all addresses and joins the fleet. */
    public suspend fun start() {
        registerObservers()
        scope.launch { keepRunning("callers", ledger::sweepUntilCancelled) }
        dataPlane.start()
        admin.start(scope)
        controlServer?.start()
        if (health != null) scope.launch { health.run() }
        control.start(scope)
        logger.info { "node ${settings.instance} started, incarnation ${incarnation.start}, platform ${settings.platform}" }
        if (controlServer != null &&
            settings.fleetSecret == null
        ) {
            logger.warn { "no fleet secret is set: control messages between nodes are not signed" }
        }
    }

    /**
     * Stops gracefully.
     *
     * The node announces that it leaves and still accepts calls for the duration of the leave notice. Then it refuses new calls, waits for
     * the calls in flight as [StopSchedule] says, and closes all connections.
     */
    public suspend fun stop() {
        val notice = settings.control.leaveNoticeMilliseconds.milliseconds
        val schedule = StopSchedule(clock.now(), notice, settings.bounds.grace, dataPlane.drainLimit)
        isStopping = true
        val limit = schedule.endsAt - clock.now()
        logger.info { "node ${settings.instance} is stopping, at the latest in $limit; in flight: ${dataPlane.inFlight}" }
        dataPlane.beginStop(schedule)
        control.leave()
        awaitEnd(schedule)
        val cut = dataPlane.inFlight
        if (cut.total > 0) logger.warn { "node ${settings.instance} ends with calls in flight: $cut" }
        val isClosed = withTimeoutOrNull(CLOSING_LIMIT) { close() } != null
        logger.info { "node ${settings.instance} stopped${if (isClosed) "" else "; its tasks did not end within $CLOSING_LIMIT"}" }
    }

    private suspend fun awaitEnd(schedule: StopSchedule) {
        var reportAt = clock.now() + STOP_REPORT_INTERVAL
        var before = StopPhase.NOTICE
        while (true) {
            val now = clock.now()
            val phase = schedule.phase(dataPlane.inFlight.total, now)
            if (phase == StopPhase.END) return
            if (phase != before) dataPlane.closeCallersAfterResponses()
            before = phase
            if (now >= reportAt) {
                logger.info { "node ${settings.instance} is stopping: $phase, in flight: ${dataPlane.inFlight}" }
                reportAt = now + STOP_REPORT_INTERVAL
            }
            delay(STOP_POLL_INTERVAL)
        }
    }

    private suspend fun close() {
        control.stop()
        halt()
    }

    /** Stops at once as a killed process would: without an announcement and without waiting for calls in flight. */
    public suspend fun halt() {
        dataPlane.close()
        admin.stop()
        controlServer?.stop()
        job.cancelAndJoin()
    }

    private fun controlPlane(
        resources: SharedResources,
        random: Random,
    ): FleetControl = ControlPlane(settings, incarnation, routing, resources.httpClient, clock, random, dataPlane.crashes, decisions)

    private fun platformControl(
        adapter: PlatformAdapter,
        relay: SourceRelay,
        resources: SharedResources,
        random: Random,
    ): FleetControl {
        val limits = ConnectionLimits(maximumBodyBytes = settings.limits.maximumMessageBytes)
        val connections = HttpConnectionPool(settings.platform, resources.network, clock, limits)
        val defaults = DocumentDefaults(settings.boundedDefaults, settings.guaranteedShare)
        val reader = adapter.reader(HttpPlatformTransport(connections, settings.platform, clock), defaults)
        return PlatformFleetControl(settings, incarnation, routing, reader, relay, dataPlane::query, clock, random, decisions)
    }

    private fun registerObservers() {
        metrics.registerControlMeters { control.status(clock.now()) }
        (control as? PlatformFleetControl)?.let { metrics.registerSourceMeters(it.readCounts) { it.sourceStatus() } }
        metrics.callers.register { ledger.usage }
        metrics.registerGuardMeters { dataPlane.load }
        metrics.registerReachMeters { dataPlane.reachCounts }
        metrics.registerPathMeters { dataPlane.pathCounts }
        metrics.registerColdMeters({ dataPlane.cold.status }) { dataPlane.cold.healthRequests.get() }
        metrics.registerPaceMeters { dataPlane.pace.status }
        metrics.registerQuarantineMeters { dataPlane.crashes.quarantinedCount(clock.now()) }
        routing.onChange { current -> current.snapshot?.let(metrics::removeStaleRouteMeters) }
    }

    // A process that has started or was paused must not place work by what it does not know; control plane and data plane limit the wait.
    private suspend fun awaitFreshView() {
        while (control.needsRefresh || !dataPlane.isInformed) delay(REFRESH_POLL)
    }

    private fun handleServerState(
        before: BackendServerState?,
        after: BackendServerState,
    ) {
        control.updateBackendServerState(after)
        when (after) {
            BackendServerState.READY -> if (before != null) dataPlane.serverStarted()
            BackendServerState.DRAINING -> dataPlane.drain()
            BackendServerState.STARTING, BackendServerState.DEAD -> Unit
        }
    }

    private companion object {
        const val RANDOM_BITS = 20
        val REFRESH_POLL = 5.milliseconds
        val STOP_POLL_INTERVAL = 10.milliseconds
        val STOP_REPORT_INTERVAL = 1.seconds

        /** How long tasks may take to end after all connections are closed. Nobody waits for them any more. */
        val CLOSING_LIMIT = 200.milliseconds
        val logger = KotlinLogging.logger {}
    }
}
