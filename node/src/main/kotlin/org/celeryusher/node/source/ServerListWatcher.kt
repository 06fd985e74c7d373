package org.celeryusher.node.source

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.distribution.SourceRead
import org.celeryusher.kernel.distribution.WatchSchedule
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.membership.ListedServer
import org.celeryusher.kernel.membership.ListedServerState
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.membership.ServerDirectory
import org.celeryusher.kernel.membership.ServerListChange
import org.celeryusher.kernel.membership.ServerListChanges
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.call.SourceRelay
import org.celeryusher.node.http.ReceiveProgress
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration

/** Keeps the platform's list of backend servers, read from the platform or relayed by a peer, and derives the membership view of this node from it. */
internal class ServerListWatcher(
    private val settings: NodeSettings,
    private val reader: PlatformReader,
    private val routing: RoutingState,
    private val clock: ProcessClock,
    private val random: Random,
    private val decisions: DecisionLog,
    private val relay: SourceRelay,
    private val eras: StoreEraWatcher,
) {
    private val directory = ServerDirectory()
    private val schedule = WatchSchedule()
    private val progress = ReceiveProgress()
    private val readRequests = Channel<Unit>(Channel.CONFLATED)
    private var isSourceLost = false

    @Volatile
    private var mustReadCompletely = false
    private var source = "nothing"

    /** The servers that are in use although the platform does not list them, because their entries may be written again. */
    @Volatile
    var held: Set<InstanceName> = emptySet()
        private set

    /** The latest time at which this list is known to have been current, or [Moment.DISTANT_PAST] before the first answer. */
    @Volatile
    var confirmedAt: Moment = Moment.DISTANT_PAST
        private set(value) {
            field = value
            relay.listConfirmed(value)
        }

    /** The revision of the list that is held, or null before the first answer. */
    @Volatile
    var revision: Long? = null
        private set

    /** Returns the age of what this node knows, or null before the first answer. */
    fun age(now: Moment): Duration? = if (confirmedAt == Moment.DISTANT_PAST) null else now - confirmedAt

    /** Makes the next read a complete one, because the store has lost changes. */
    fun readCompletelySoon() {
        mustReadCompletely = true
    }

    /** Ends the current pause between reads. */
    fun readSoon() {
        readRequests.trySend(Unit)
    }

    /** Reads the platform until there is an answer or a pause is due. Returns that pause, or null after an answer. */
    suspend fun readPlatform(): Duration? {
        while (true) {
            val sentAt = clock.now()
            if (mustReadCompletely) schedule.readCompletely()
            mustReadCompletely = false
            val read = schedule.next(directory.position)
            val pause = handle(read, withContext(progress) { reader.readServers(read) }, sentAt)
            if (pause != Duration.ZERO) return pause
        }
    }

    /** Records that a peer had an answer of the platform at the time [at]. Call this before the changes in its answer are applied. */
    fun peerAnswered(
        listPosition: StorePosition,
        at: Moment,
    ): Unit = recordAnswer(listPosition, "a peer answers", at)

    /** Applies [changes] that [peer] has read from the list up to [listPosition]. */
    fun applyRelayed(
        changes: ServerListChanges,
        listPosition: StorePosition,
        peer: InstanceName,
    ) {
        val now = clock.now()
        source = "the node beside $peer"
        val usable = changes.changes.map(::withoutFault)
        if (changes.isComplete) {
            directory.replaceAll(usable.filterIsInstance<ServerListChange.Written>(), listPosition, now)
        } else {
            usable.forEach { directory.apply(it, now) }
        }
        publish(now)
    }

    private fun withoutFault(change: ServerListChange): ServerListChange {
        val fault = (change as? ServerListChange.Written)?.server?.fault ?: return change
        decisions.record("servers", "${change.instance} gone", "its relayed entry cannot be used", "fault" to fault)
        return ServerListChange.Removed(change.instance, change.revision, change.era)
    }

    /** Records that a peer has confirmed that the list up to [listPosition] was current at the time [at]. */
    fun confirmed(
        listPosition: StorePosition,
        at: Moment,
    ) {
        confirmedAt = at
        directory.advanceTo(listPosition, clock.now())
        // A watch from this revision would never return a change that the peer has not passed on.
        schedule.relayed()
        revision = directory.position.revision
        publish(clock.now())
    }

    /** Handles the result of one read; returns the pause after a failure, or null after a success. */
    private fun handle(
        read: SourceRead,
        reading: PlatformReadResult<List<ServerListChange>>,
        sentAt: Moment,
    ): Duration? {
        val now = clock.now()
        return when (reading) {
            is PlatformReadResult.Value -> handleValue(read, reading, sentAt, now)

            is PlatformReadResult.HistoryGone -> {
                decisions.record("source", "list read anew", "the platform dropped its history", "revision" to directory.position)
                schedule.historyGone()
                Duration.ZERO
            }

            is PlatformReadResult.Unavailable -> {
                handleFailure(reading, now)
                schedule.failed(read, reading.retryAfter, random)
            }
        }
    }

    private fun handleValue(
        read: SourceRead,
        reading: PlatformReadResult.Value<List<ServerListChange>>,
        sentAt: Moment,
        now: Moment,
    ): Duration? {
        val era = eras.eraOf(reading.era, now)
        if (era == null) {
            handleFailure(PlatformReadResult.Unavailable("the era of the answer cannot be used"), now)
            return schedule.failed(read, Duration.ZERO, random)
        }
        if (!read.isAnsweredIn(era)) {
            schedule.readCompletely()
            return Duration.ZERO
        }
        handleAnswer(read, reading, StorePosition(era, reading.revision), sentAt, now)
        return null
    }

    private fun handleAnswer(
        read: SourceRead,
        reading: PlatformReadResult.Value<List<ServerListChange>>,
        reached: StorePosition,
        sentAt: Moment,
        now: Moment,
    ) {
        recordAnswer(reached, "the platform answers", now)
        source = "the platform"
        confirmedAt = schedule.answered(read, reading.value.isNotEmpty(), sentAt, now, begunAt = progress.headAt ?: now)
        when (read) {
            is SourceRead.Complete -> {
                directory.replaceAll(reading.value.filterIsInstance<ServerListChange.Written>(), reached, now)
            }

            is SourceRead.Watch -> {
                reading.value.forEach { directory.apply(it, now) }
                directory.advanceTo(reached, now)
            }
        }
        revision = directory.position.revision
        publish(now)
    }

    private fun recordAnswer(
        listPosition: StorePosition,
        reason: String,
        at: Moment,
    ) {
        if (isSourceLost) decisions.record("source", "list regained", reason, "revision" to listPosition)
        isSourceLost = false
        directory.sourceAnswered(at, listPosition)
    }

    private fun handleFailure(
        reading: PlatformReadResult.Unavailable,
        now: Moment,
    ) {
        if (!isSourceLost) decisions.record("source", "list lost", reading.reason, "revision" to directory.position)
        isSourceLost = true
        directory.sourceFailed()
        publish(now)
    }

    /** Waits until [moment] or a call of [readSoon], and removes the servers whose deferred removal is due meanwhile. */
    suspend fun waitUntil(moment: Moment) {
        val now = clock.now()
        val expiry = directory.nextExpiry(now)
        if (expiry != null && expiry < moment) {
            withTimeoutOrNull(expiry - now) { readRequests.receive() }
            publish(clock.now())
        }
        val left = moment - clock.now()
        if (left.isPositive()) withTimeoutOrNull(left) { readRequests.receive() }
    }

    private fun publish(now: Moment) {
        val entries = directory.entriesInUse(now)
        relay.updateServers(directory.listedEntries(now), directory.position)
        entries.firstOrNull { it.server.address == settings.backendServer }?.let { relay.ownEntry(it.server) }
        logDeferredRemovals(now)
        val members = entries.map { it.server }.sortedBy { it.instance }.map(::memberOf)
        val before = routing.current.view.members
        if (members == before.sortedBy { it.instance }) return
        for (change in differences(before.associateBy { it.instance }, members.associateBy { it.instance })) {
            decisions.record(
                "servers",
                change,
                "the platform's list",
                "revision" to directory.position,
                "confirmedBefore" to age(now),
                "from" to source,
            )
        }
        routing.updateView(MembershipView(members))
    }

    private fun logDeferredRemovals(now: Moment) {
        val deferred = directory.deferredRemovals(now)
        for ((name, removeAt) in deferred - held) {
            decisions.record(
                "servers",
                "$name stays for ${removeAt - now}",
                "its entry was removed around an outage",
                "revision" to directory.position,
            )
        }
        held = deferred.keys
    }

    private fun <K, V> differences(
        before: Map<K, V>,
        after: Map<K, V>,
    ): List<String> =
        (before.keys - after.keys).map { "$it gone" } +
            after.filter { (name, member) -> before[name] != member }.map { (name, member) -> "$name is $member" }

    // All nodes of one platform listen on the same ports.
    private fun memberOf(server: ListedServer): Member =
        Member(
            instance = server.instance,
            service = server.service,
            dataCentre = server.dataCentre,
            controlAddress = Address(server.address.host, settings.addresses.control.port),
            frameAddress = Address(server.address.host, settings.addresses.frames.port),
            serverAddress = server.address,
            incarnation = server.startedAtMilliseconds?.let { Incarnation(it) },
            state = if (server.state == ListedServerState.READY) MemberState.LIVE else MemberState.LEAVING,
            slots = server.slots,
        )
}
