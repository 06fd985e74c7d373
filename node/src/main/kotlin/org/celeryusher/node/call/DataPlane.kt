package org.celeryusher.node.call

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonElement
import org.celeryusher.kernel.admission.AdmissionPolicy
import org.celeryusher.kernel.admission.ColdPolicy
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.configuration.routesWithRunAdmission
import org.celeryusher.kernel.execution.HedgeSummary
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.routing.DataCentreDistances
import org.celeryusher.kernel.shutdown.StopSchedule
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.http.ConnectionLimits
import org.celeryusher.node.http.HttpConnectionPool
import org.celeryusher.node.http.HttpListener
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.NodeMetrics
import org.celeryusher.node.metrics.PathCounts
import org.celeryusher.node.metrics.ReachCounts
import org.celeryusher.node.net.CallerLedger
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.runtime.SharedResources
import org.celeryusher.node.runtime.keepRunning
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** The data plane of a node: the proxy for callers, the guard of the backend server, and the transport of calls between nodes. */
internal class DataPlane(
    private val settings: NodeSettings,
    incarnation: Incarnation,
    private val routing: RoutingState,
    resources: SharedResources,
    private val scope: CoroutineScope,
    private val clock: ProcessClock,
    random: Random,
    metrics: NodeMetrics,
    decisions: DecisionLog,
    headers: CallHeaders,
    private val relay: SourceRelay?,
    ledger: CallerLedger,
    knowledge: FleetKnowledge,
) {
    /** The suspected and quarantined requests, which the control plane exchanges with other nodes. */
    val crashes: CrashRegistry = CrashRegistry(clock, decisions)

    private val limits = settings.limits

    /** How long a request is refused that crashes backend servers. */
    @Volatile
    private var quarantine = Guard.DEFAULT_QUARANTINE

    /** Whether the platform lists backend servers separately from instances, so that only its list says which one runs beside this node. */
    private val isServerListedSeparately = headers.expectedServer != null
    private val place = FleetPlace(settings.dataCentre, settings.service, settings.instance)
    private val limitsInForce = LimitsInForce(settings, routing, place)
    private val serverConnections =
        HttpConnectionPool(settings.backendServer, resources.network, clock, ConnectionLimits(maximumBodyBytes = limits.maximumAnswerBytes))
    private val backendServer = BackendServerClient(serverConnections, settings.backendServer, headers)
    private val retries =
        RetryAccount(
            settings.addresses.frames,
            clock,
            random,
            // A bound that a platform counts also holds around a restart.
            isFullAtStart = settings.platformAdapter == null || settings.firstStart == true,
            decisions,
        ) { address, query, timeout -> frameClient.isGranted(address, query, timeout) }
    private val runs = RunAccount(retries, random, metrics)
    private val link = resources.network.guardLink
    private val guard =
        Guard(settings.instance, incarnation.start, backendServer, crashes, retries, runs, clock, random, decisions, link)
    private val maximumFrameBytes = maxOf(limits.maximumBodyBytes, limits.maximumAnswerBytes) + limits.maximumHeaderBytes * 2
    private val frameServer =
        FrameServer(
            settings.addresses.frames,
            resources.network,
            ledger,
            guard,
            incarnation.start,
            clock,
            maximumFrameBytes,
            relay,
            crashes,
            retries,
        ) { isInformed }
    private val distances =
        DataCentreDistances(
            settings.dataCentre,
            settings.control.interDataCentreMicroseconds.microseconds,
            perKilobyte = settings.control.interDataCentreMicrosecondsPerKilobyte.microseconds,
        )
    private val selection = EndpointSelection(distances, random, decisions)
    private val paths = PathReports(decisions)
    private val frameClient: FrameClient =
        FrameClient(
            resources.network,
            scope,
            clock,
            maximumFrameBytes,
            random,
            paths,
        ) { guard, load ->
            selection.recordLoadReport(guard, load, clock.now())
            runs.recordLoad(load, clock.now())
        }

    /** Exchanges crash reports where no gossip between control planes does. */
    private val crashReports =
        relay?.let { CrashReportExchange(settings.addresses.frames, crashes, frameClient::query, clock, random) }

    /** Follows how cold the backend server is. */
    val cold: ColdWatch = ColdWatch(guard, backendServer, clock, decisions)

    /** Follows what the backend server has room for. */
    val pace: PaceWatch = PaceWatch(guard, decisions)
    private val callLog = CallLog(decisions, headers, clock)
    private val dispatcher = AttemptDispatcher(settings.addresses.frames, guard, frameClient, selection, clock, callLog)
    private val hedges = HedgedDispatcher(routing, dispatcher, selection, crashes, clock, random, metrics.hedges, decisions, callLog)
    private val tickets = TicketRouter(routing, dispatcher, selection, clock, random, decisions)
    private val proxy =
        CallProxy(
            headers,
            routing,
            dispatcher,
            hedges,
            tickets,
            selection,
            crashes,
            retries,
            runs,
            clock,
            random,
            metrics,
            decisions,
            callLog,
            knowledge,
        )
    private val callers = CallerEndpoint(proxy, tickets, clock, headers, retries, settings.service, decisions)
    private val listener = HttpListener(settings.addresses.callers, resources.network, limitsInForce::callerLimits, callers, ledger)

    /** The load of the guard, or a load without capacity until a configuration with the service of this node is in force. */
    val load: GuardLoad get() = guard.load() ?: NO_CAPACITY

    /** Says where a request would go. */
    val routeInquiry: RouteInquiry = RouteInquiry(routing, selection, crashes, retries, clock)

    /** What is known about the routes whose calls may be hedged. */
    val hedgeSummaries: List<HedgeSummary> get() = hedges.summaries

    /** Returns the state of the admission of whole runs for the status page. */
    fun describeRuns(now: Moment): JsonElement = runs.describe(now)

    /** What is in flight. */
    val inFlight: CallsInFlight get() = CallsInFlight(listener.inFlight, guard.inFlight, frameServer.inFlight)

    @Volatile
    private var isStopping = false

    /** Whether this node knows enough of the crashes in the fleet to place calls. */
    val isInformed: Boolean get() = crashReports?.isInformed ?: true

    /** How many connections to other nodes have gone silent. */
    val pathCounts: PathCounts get() = paths.counts

    /** How often the guard has not started a call because of what must not be reached. */
    val reachCounts: ReachCounts get() = guard.reachCounts

    /** The number of answers from other nodes for which no call was waiting. */
    val unmatchedAnswers: Long get() = frameClient.unmatchedAnswers.get()

    /** Starts to accept calls from callers and other nodes, and to apply changes of the configuration and the membership view. */
    suspend fun start() {
        routing.onChange(::onRoutingChange)
        scope.launch { keepRunning("queue", guard::runTicks) }
        scope.launch { keepRunning("stalls", callers::watchStalls) }
        scope.launch { keepRunning("connections", frameClient::watchConnections) }
        relay?.entryListener = cold::entryWritten
        relay?.confirmationListener = { at -> guard.withHold { hold, _ -> hold.evacuationsRead(at) } }
        scope.launch { keepRunning("cold", cold::run) }
        scope.launch { keepRunning("pace", pace::run) }
        if (crashReports != null) scope.launch { crashReports.run() }
        frameServer.start(scope)
        listener.start(scope)
    }

    /** Sends [query] to the node at [address] and returns its answer, or why there is none within [timeout]. */
    suspend fun query(
        address: Address,
        query: Frame.SourceQuery,
        timeout: Duration,
    ): SourceReply = frameClient.query(address, query, timeout)

    /** Begins slow start after a restart of the backend server: its share of calls rises gradually. */
    fun serverStarted(): Unit = guard.serverStarted()

    /** Refuses queued and new calls to the backend server as not run. Calls from callers to other backend servers continue. */
    fun drain(): Unit = guard.drain()

    /** Refuses all new calls to the backend server, and those of callers that [schedule] does not accept. */
    fun beginStop(schedule: StopSchedule) {
        isStopping = true
        guard.drain()
        callers.beginStop(schedule)
    }

    /** Closes each connection of a caller after its next response. */
    fun closeCallersAfterResponses(): Unit = listener.closeAfterResponses()

    /** How long a graceful shutdown waits for calls in flight if the deployment does not state a grace time. */
    val drainLimit: Duration get() = limitsInForce.drainLimit

    /** Closes the listeners and all connections to callers, other nodes and the backend server. */
    fun close() {
        listener.stop()
        frameServer.stop()
        frameClient.stop()
        serverConnections.closeIdle()
    }

    private fun onRoutingChange(current: RoutingState.Current) {
        recordEndedServers(routing.current.view, current.view)
        if (routing.current.view !== current.view) crashReports?.updateMembers(current.view.members)
        selection.updateView(current.view, current.table, clock.now())
        frameClient.retainOnly(current.view.members.mapTo(HashSet()) { it.frameAddress })
        val server = current.view.members.firstOrNull { it.serverAddress == settings.backendServer && it.state != MemberState.DEAD }
        guard.applyReach(server?.dataCentre ?: settings.dataCentre, current)
        applyPolicy(current.snapshot, server)
        retries.updateView(current.view, server, server?.service ?: settings.service, limitsInForce.retryBounds(current.snapshot))
        // A server that starts anew beside a stopping node would end the drain of its guard.
        if (isServerListedSeparately && !isStopping) guard.changeServer(server?.instance, server?.incarnation)
        if (server?.state == MemberState.LEAVING) guard.drain()
    }

    private fun recordEndedServers(
        before: MembershipView,
        after: MembershipView,
    ) {
        if (before === after) return
        val listed = after.members.associateBy { it.instance }
        for (member in before.members) {
            val current = listed[member.instance]
            val process = member.incarnation
            val isSame = process == null || current?.incarnation?.isSameProcessAs(process) ?: true
            if (current == null || !isSame) crashes.recordEnd(member, quarantine, clock.now())
        }
    }

    private fun applyPolicy(
        snapshot: ConfigurationSnapshot?,
        server: Member?,
    ) {
        val service = snapshot?.service(server?.service ?: settings.service) ?: return
        val effective = snapshot.effectiveSettings(place)
        val coldPolicy = ColdPolicy.of(service, settings.bounds.coldOverage, settings.bounds.coldReserve)
        val policy =
            AdmissionPolicy
                .of(
                    snapshot,
                    effective,
                    service,
                    server?.slots,
                ).copy(cold = coldPolicy, maximumServerBytes = limits.maximumServerBytes)
        cold.healthPath = service.healthPath
        quarantine = effective.quarantineMilliseconds.milliseconds
        runs.guardRoutes = snapshot.routesWithRunAdmission(place.copy(service = service.name))
        guard.applyPolicy(policy, quarantine)
    }

    private companion object {
        val NO_CAPACITY = GuardLoad(limit = 0, running = 0, queued = 0, ranks = emptyList())
    }
}
