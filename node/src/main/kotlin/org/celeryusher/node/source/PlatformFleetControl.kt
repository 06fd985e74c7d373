package org.celeryusher.node.source

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.celeryusher.kernel.distribution.ConfigurationRecency
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.call.SourceRelay
import org.celeryusher.node.control.BackendServerState
import org.celeryusher.node.control.ControlStatus
import org.celeryusher.node.control.ControlTraffic
import org.celeryusher.node.control.ControlTrafficCounts
import org.celeryusher.node.control.FleetControl
import org.celeryusher.node.control.MemberStatus
import org.celeryusher.node.control.ReadFailureStatus
import org.celeryusher.node.control.SourceReadStatus
import org.celeryusher.node.control.SourceStatus
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.ReadCounts
import org.celeryusher.node.metrics.ReadKind
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.runtime.keepRunning
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reads configuration and backend servers from the platform through a [PlatformReader], or from another node that does.
 *
 * A few nodes read the platform, and the others ask them ([SourceFollower]), so that the number of calls to the platform does not grow
 * with the fleet.
 */
internal class PlatformFleetControl(
    private val settings: NodeSettings,
    private val incarnation: Incarnation,
    private val routing: RoutingState,
    platformReader: PlatformReader,
    private val relay: SourceRelay,
    peers: SourcePeers,
    private val clock: ProcessClock,
    random: Random,
    decisions: DecisionLog,
) : FleetControl {
    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val reader = CountedReader(platformReader, clock)
    private val evacuations = EvacuationWatcher(routing, decisions, relay)
    private val eras = StoreEraWatcher(decisions, ::readCompletelySoon)
    private val configuration = ConfigurationWatcher(settings, reader, routing, clock, random, decisions, relay, evacuations, eras)
    private val servers = ServerListWatcher(settings, reader, routing, clock, random, decisions, relay, eras)
    private val follower =
        SourceFollower(
            settings.backendServer,
            servers,
            configuration,
            evacuations,
            eras,
            routing,
            relay,
            peers,
            clock,
            decisions,
            settings.machine.linkMegabitsPerSecond,
        )

    @Volatile
    private var lastTick = clock.now()

    @Volatile
    private var refreshUntil = Moment.DISTANT_PAST

    /** The end of the latest pause of this process, or [Moment.DISTANT_PAST] before the first. */
    @Volatile
    private var pausedAt = Moment.DISTANT_PAST

    override val needsRefresh: Boolean
        get() {
            val now = clock.now()
            val confirmedAt = minOf(servers.confirmedAt, configuration.confirmedAt)
            return (now < refreshUntil && confirmedAt < refreshUntil - REFRESH_LIMIT) ||
                now - lastTick > TICK_INTERVAL + PAUSE_THRESHOLD
        }

    override fun configurationRecency(now: Moment): ConfigurationRecency =
        ConfigurationRecency(
            confirmedAge = configuration.age(now),
            informedAge = follower.informedAt.takeIf { it != Moment.DISTANT_PAST }?.let { now - it },
            behindFor = configuration.behindSince?.let { now - it } ?: Duration.ZERO,
            pausedAge = pausedAt.takeIf { it != Moment.DISTANT_PAST }?.let { now - it },
        )

    override suspend fun start(scope: CoroutineScope) {
        scope.coroutineContext[Job]?.invokeOnCompletion { job.cancel() }
        lastTick = clock.now()
        this.scope.launch { keepRunning("platform", follower::run) }
        this.scope.launch { keepRunning("pauses", ::watchForPauses) }
    }

    override suspend fun leave(): Unit = Unit

    override suspend fun stop(): Unit = job.cancelAndJoin()

    override fun updateBackendServerState(serverState: BackendServerState): Unit = Unit

    override fun status(): ControlStatus = status(clock.now())

    override fun status(now: Moment): ControlStatus =
        ControlStatus(
            instance = settings.instance,
            incarnation = incarnation,
            configuration = configuration.status(now),
            floor = null,
            refused = configuration.refused(now),
            conflicts = configuration.conflicts(),
            configurationSource = SourceStatus(configuration.age(now)?.inWholeMilliseconds, readerPosition = 0),
            instancesSource = SourceStatus(servers.age(now)?.inWholeMilliseconds, readerPosition = 0),
            instancesRevision = servers.revision,
            members =
                routing.current.view.members
                    .map { MemberStatus(it.instance, it.service, it.dataCentre, it.state, it.incarnation) },
            isLeaving = false,
            needsRefresh = needsRefresh,
            healthMultiplier = 1,
            traffic = traffic(),
            evacuations = evacuations.status(now),
            evacuationAnswersBelow = evacuations.answersBelow,
        )

    /** The reads of the platform since the start. */
    val readCounts: ReadCounts get() = reader.counts

    /** Returns how this node gets the platform's data at [now]. */
    fun sourceStatus(now: Moment = clock.now()): SourceReadStatus =
        SourceReadStatus(
            mode = follower.mode(now),
            lastAsked = follower.lastSource,
            pauseMilliseconds = follower.pauseAt(now).inWholeMilliseconds,
            configurationAgeMilliseconds = configuration.age(now)?.inWholeMilliseconds,
            instancesAgeMilliseconds = servers.age(now)?.inWholeMilliseconds,
            evacuationListingAgeMilliseconds = evacuations.listingAge(now)?.inWholeMilliseconds,
            reads = reader.counts.describe(),
            lastFailure =
                reader.lastFailure?.let {
                    ReadFailureStatus(it.kind.name.lowercase(), it.reason, (now - it.at).inWholeMilliseconds)
                },
            era = eras.current,
            eraChangeAgeMilliseconds = eras.ageOfChange(now),
            refusedEras = eras.refusals().mapKeys { (fault, _) -> fault.name.lowercase() },
            heldInstances = servers.held.sortedBy { it.value },
            heldEvacuations = evacuations.held(now).sortedBy { it.value },
            lag = configuration.lagStatus(now),
            transfers = relay.counts.status(),
            declines = follower.declines,
            othersDeclining = follower.othersDeclining,
        )

    private fun readCompletelySoon() {
        configuration.readCompletelySoon()
        servers.readCompletelySoon()
    }

    private fun traffic(): ControlTrafficCounts {
        val counts = reader.counts
        val configurationReads = counts.total(ReadKind.CONFIGURATION) + counts.total(ReadKind.EVACUATIONS)
        return ControlTraffic().counts().copy(configurationReads = configurationReads, instanceReads = counts.total(ReadKind.INSTANCES))
    }

    // After a pause this process still has its old view, so the list is read before new work is placed according to it.
    private suspend fun watchForPauses() {
        while (true) {
            delay(TICK_INTERVAL)
            val now = clock.now()
            val late = now - lastTick - TICK_INTERVAL
            lastTick = now
            if (late > PAUSE_THRESHOLD) {
                logger.warn { "this process was paused for $late; reading the list of backend servers again" }
                pausedAt = now
                refreshUntil = now + REFRESH_LIMIT
                follower.readPlatformSoon()
            }
        }
    }

    private companion object {
        val TICK_INTERVAL = 250.milliseconds

        /** Longer than scheduling delays of this process on a busy instance. */
        val PAUSE_THRESHOLD = 750.milliseconds

        /** The longest time that new work waits for a fresh list. It is of the order of a caller's target latency. */
        val REFRESH_LIMIT = 250.milliseconds
        val logger = KotlinLogging.logger {}
    }
}
