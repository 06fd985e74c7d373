package org.celeryusher.node.source

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.distribution.DocumentLimit
import org.celeryusher.kernel.distribution.EvacuationCheck
import org.celeryusher.kernel.distribution.SourceChoice
import org.celeryusher.kernel.distribution.SourceMode
import org.celeryusher.kernel.distribution.SourceSchedule
import org.celeryusher.kernel.distribution.SourceScheduleSettings
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.ServerListChanges
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.call.Frame
import org.celeryusher.node.call.ServerListCompression
import org.celeryusher.node.call.SourceRelay
import org.celeryusher.node.call.SourceReply
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends a [Frame.SourceQuery] to the node at an address; returns its answer, or why there is none within the timeout. */
internal fun interface SourcePeers {
    suspend fun query(
        address: Address,
        query: Frame.SourceQuery,
        timeout: Duration,
    ): SourceReply
}

/** Keeps the list of servers and the configuration of this node up to date, from the platform or from a peer as [SourceSchedule] decides. */
internal class SourceFollower(
    private val backendServer: Address,
    private val servers: ServerListWatcher,
    private val configuration: ConfigurationWatcher,
    private val evacuations: EvacuationWatcher,
    private val eras: StoreEraWatcher,
    private val routing: RoutingState,
    private val relay: SourceRelay,
    private val peers: SourcePeers,
    private val clock: ProcessClock,
    private val decisions: DecisionLog,
    private val linkMegabitsPerSecond: Double? = null,
) {
    private val settings = SourceScheduleSettings()
    private val schedule = SourceSchedule(settings, linkMegabitsPerSecond)
    private val check = EvacuationCheck(clock.now())
    private var wasAnswered = false
    private val cursors = PeerCursors()
    private val documents = DocumentFetcher(configuration, peers, decisions, settings.documentTimeout, ::readCompletely)

    /** The platform or the node that was last asked, for the status page; null before the first. */
    @Volatile
    var lastSource: String? = null
        private set

    /** When the platform or another node last answered, also with old data, or [Moment.DISTANT_PAST] before the first answer. */
    @Volatile
    var informedAt: Moment = Moment.DISTANT_PAST
        private set

    private var wasDeclining = false

    /** Whether this node declines to be asked for the platform's data, because the document takes too long on its link. */
    val declines: Boolean get() = synchronized(schedule) { schedule.declines }

    /** The number of other instances that are known to decline. */
    val othersDeclining: Int get() = synchronized(schedule) { schedule.othersDeclining }

    private var pendingConfigurationRead: Deferred<Duration?>? = null
    private var turnEndedAt = Moment.DISTANT_PAST

    /** What is being read now. */
    @Volatile
    private var reading: Job? = null

    /** Makes this node read the platform itself at once, because it was paused and what it knows is old. What it reads now may be old as well. */
    fun readPlatformSoon() {
        synchronized(schedule) {
            schedule.resumed()
            check.interrupted(clock.now())
        }
        configuration.readCompletelySoon()
        servers.readSoon()
        reading?.cancel()
    }

    private fun readCompletely() {
        synchronized(schedule) { schedule.resumed() }
        configuration.readCompletelySoon()
    }

    /** Returns how this node gets the platform's data at [now]. */
    fun mode(now: Moment): SourceMode = synchronized(schedule) { schedule.mode(now) }

    /** Returns how long after [now] this node leaves the platform alone. */
    fun pauseAt(now: Moment): Duration = maxOf(synchronized(schedule) { schedule.platformPausedUntil } - now, Duration.ZERO)

    /** Follows the platform until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            while (true) {
                // The scope of a cancelled reading ends with the reads that it has left pending.
                val step = launch { readUntilCancelled() }
                reading = step
                step.join()
            }
        }

    private suspend fun readUntilCancelled(): Unit =
        coroutineScope {
            pendingConfigurationRead = null
            relay.isServed = { synchronized(schedule) { schedule.isServed(clock.now()) } }
            relay.declinedLimits = { synchronized(schedule) { schedule.declinedLimits() } }
            relay.limitListener = { synchronized(schedule) { schedule.recordLimits(listOf(it)) } }
            while (true) readNext(this)
        }

    private suspend fun readNext(scope: CoroutineScope) {
        if (configuration.isWithheld && servers.revision != null) learnFromOthers()
        val view = routing.current.view
        val own = view.members.firstOrNull { it.serverAddress == backendServer }?.instance
        val choice =
            synchronized(schedule) {
                schedule.documentInForce(relay.documentBytes)
                schedule.queried(relay.lastQueryAt)
                relay.takeOffer()?.let { schedule.offered(it, clock.now()) }
                schedule.choose(view, own, clock.now())
            }
        logDeclining()
        when (choice) {
            is SourceChoice.Platform -> readPlatform(scope)
            is SourceChoice.Peer -> ask(choice, own, scope)
            is SourceChoice.WaitUntil -> servers.waitUntil(choice.moment)
        }
    }

    /** Reads list and configuration at the same time. A read of the configuration that takes longer does not delay the next one of the list. */
    private suspend fun readPlatform(scope: CoroutineScope) {
        logSource("the platform")
        val startedAt = clock.now()
        val configurationRead = pendingReadAt(startedAt) ?: scope.async { configuration.readPlatform() }
        pendingConfigurationRead = configurationRead
        checkEvacuations(startedAt, scope)
        val listPause = servers.readPlatform()
        if (configuration.isWithheld && servers.revision != null) learnFromOthers()
        if (listPause == null) servers.waitUntil(startedAt + settings.readInterval)
        // A watch that ends just after the turn would leave the configuration unread until the end of the next one.
        withTimeoutOrNull(settings.readOverlap) { configurationRead.join() }
        var configurationPause: Duration? = null
        if (configurationRead.isCompleted) {
            configurationPause = configurationRead.await()
            pendingConfigurationRead = null
        }
        turnEndedAt = clock.now()
        val pause = listOfNotNull(listPause, configurationPause).maxOrNull()
        wasAnswered = pause == null
        if (wasAnswered) informedAt = clock.now()
        if (pause != null) {
            synchronized(schedule) { schedule.platformFailed(pause, clock.now()) }
        } else if (configuration.confirmedAt != Moment.DISTANT_PAST) {
            synchronized(schedule) { schedule.platformAnswered(clock.now()) }
        }
    }

    /** Returns the read that an earlier turn has left, unless it has ended: then it says nothing about the platform now, but for a recent failure. */
    private suspend fun pendingReadAt(now: Moment): Deferred<Duration?>? {
        val pending = pendingConfigurationRead ?: return null
        return pending.takeIf { it.isActive || (now - turnEndedAt < settings.readInterval && it.await() != null) }
    }

    /** Takes over what other nodes know before this one, which has just started, serves by what a store lists that has lost changes. */
    private suspend fun learnFromOthers(): Unit =
        coroutineScope {
            val view = routing.current.view
            val own = view.members.firstOrNull { it.serverAddress == backendServer }?.instance
            val others = synchronized(schedule) { schedule.firstCandidates(view, own) }
            val query =
                Frame.SourceQuery(
                    0,
                    version = configuration.version,
                    waitMilliseconds = 0,
                    evacuationsChangedAt = evacuations.changedAt,
                    acceptsDeclining = false,
                )
            val answers = others.map { async { it.instance to peers.query(it.frameAddress, query, settings.queryMargin) } }.awaitAll()
            for ((peer, reply) in answers) {
                val update = (reply as? SourceReply.Answered)?.update
                if (update?.ageMilliseconds != null && eras.acceptsRelayed(update.era, "the node beside $peer", clock.now())) {
                    applyList(update, peer)
                }
                update?.configuration?.let { configuration.offerRelayed(it, peer) }
            }
            configuration.release()
        }

    /** Reads the evacuations when they are due, beside the list, whose age must not grow. Nothing waits for the answer, which may be slow. */
    private fun checkEvacuations(
        now: Moment,
        scope: CoroutineScope,
    ) {
        val isDue = synchronized(schedule) { check.takeTurn(now) } && wasAnswered
        if (isDue) scope.launch { configuration.checkEvacuations(check.settings.timeout) }
    }

    private suspend fun ask(
        choice: SourceChoice.Peer,
        own: InstanceName?,
        scope: CoroutineScope,
    ) {
        val peer = choice.member
        logSource("the node beside ${peer.instance}")
        val sentAt = clock.now()
        val known = cursors[peer.instance]
        val query =
            Frame.SourceQuery(
                0,
                known?.processStart,
                known?.number,
                configuration.version,
                choice.wait.inWholeMilliseconds,
                evacuations.changedAt,
                own.takeIf { synchronized(schedule) { schedule.offersData(sentAt) } },
                choice.acceptsOldData,
                configuration.digest,
                awaited = documents.awaitedVersion,
                senderLimit = if (known == null) synchronized(schedule) { schedule.ownLimit } else null,
                acceptsDeclining = choice.acceptsDeclining,
            )
        when (val reply = peers.query(peer.frameAddress, query, choice.timeout)) {
            is SourceReply.Answered -> {
                informedAt = clock.now()
                takeOver(reply.update, peer, sentAt, scope)
            }

            is SourceReply.Unanswered -> peerFailed(peer, reply, sentAt)
        }
    }

    private fun peerFailed(
        peer: Member,
        reply: SourceReply.Unanswered,
        sentAt: Moment,
    ) {
        val now = clock.now()
        synchronized(schedule) { schedule.peerFailed(peer.instance, now) }
        logLeft(peer, reply.reason, "receivedBytes" to reply.receivedBytes, "after" to now - sentAt)
    }

    /** Logs why this node asks another one than [peer] next, which decides how late it has a change. */
    private fun logLeft(
        peer: Member,
        reason: String,
        vararg inputs: Pair<String, Any?>,
    ): Unit = decisions.record("source", "leaves the node beside ${peer.instance}", reason, *inputs, "version" to configuration.version)

    private fun takeOver(
        update: Frame.SourceUpdate,
        peer: Member,
        sentAt: Moment,
        scope: CoroutineScope,
    ) {
        // The age counts from the earliest time at which the peer can have answered, so that a delayed answer does not seem recent.
        val age = update.ageMilliseconds?.takeIf { eras.acceptsRelayed(update.era, "the node beside ${peer.instance}", clock.now()) }
        val answeredAt = sentAt + update.heldMilliseconds.milliseconds
        val confirmedAt = age?.let { answeredAt - it.milliseconds }
        val contactAt = confirmedAt?.let { maxOf(it, answeredAt - (update.contactMilliseconds ?: age).milliseconds) }
        if (update.declined?.let { takeOverDeclined(it, update, peer, age) } == true) return
        val isRecent =
            synchronized(schedule) { schedule.peerAnswered(peer.instance, confirmedAt, clock.now(), update.isServed, contactAt) }
        if (!isRecent) {
            logLeft(
                peer,
                "its data is old",
                "age" to confirmedAt?.let { clock.now() - it },
                "contact" to contactAt?.let { clock.now() - it },
                "isServed" to update.isServed,
            )
        }
        if (isRecent && confirmedAt != null) servers.peerAnswered(update.position, confirmedAt)
        if (age != null || update.ageMilliseconds == null) applyList(update, peer.instance)
        // The version of a configuration decides, whatever the era in which it was read.
        val isNewest = takeOverConfiguration(update, peer, scope)
        if (isRecent && confirmedAt != null) {
            servers.confirmed(update.position, confirmedAt)
            if (isNewest) configuration.confirmed(confirmedAt)
        }
        if (isRecent) synchronized(schedule) { check.peerAnswered(clock.now()) }
    }

    /** Takes over what [peer], which declines, has sent all the same. Returns whether it was not known to decline, so that another node is asked. */
    private fun takeOverDeclined(
        limits: List<DocumentLimit>,
        update: Frame.SourceUpdate,
        peer: Member,
        age: Long?,
    ): Boolean {
        update.configuration?.let { configuration.offerRelayed(it, peer.instance) }
        update.changes?.let { configuration.applyChanges(it, peer.instance) }
        val isNew =
            synchronized(schedule) {
                schedule.documentInForce(relay.documentBytes)
                schedule.peerDeclined(peer.instance, limits)
            }
        if (isNew && (age != null || update.ageMilliseconds == null)) applyList(update, peer.instance)
        return isNew
    }

    /** Returns whether the configuration in force is as new as that of [peer], or asks for the whole document. */
    private fun takeOverConfiguration(
        update: Frame.SourceUpdate,
        peer: Member,
        scope: CoroutineScope,
    ): Boolean {
        update.configuration?.let { return configuration.offerRelayed(it, peer.instance) }
        // The peer has nothing newer than what was in force here when it was asked, whatever is being transferred.
        val newest = update.newest ?: return true
        configuration.heard(newest.version)
        if (update.changes?.let { configuration.applyChanges(it, peer.instance) } == true) return true
        documents.fetchIfNewer(newest, peer, scope)
        return false
    }

    private fun applyList(
        update: Frame.SourceUpdate,
        peer: InstanceName,
    ) {
        update.evacuations?.let { evacuations.applyRelayed(it, peer, clock.now()) }
        serversIn(update, peer)?.let {
            servers.applyRelayed(it, update.position, peer)
            // What the list of this peer lacks may never have been missing at the others, whose changes do not say so.
            if (it.isComplete && servers.held.isNotEmpty()) cursors.clear()
            cursors[peer] = PeerCursor(update.processStart, it.cursor)
        }
    }

    private fun serversIn(
        update: Frame.SourceUpdate,
        peer: InstanceName,
    ): ServerListChanges? {
        val compressed = update.compressedServers ?: return update.servers
        val list = ServerListCompression.expandOrNull(compressed)
        if (list == null) logRefusedList(peer, compressed.size)
        return list
    }

    private fun logRefusedList(
        peer: InstanceName,
        bytes: Int,
    ): Unit = decisions.record("servers", "refused a list", "${ErrorKind.MESSAGE_MALFORMED}", "peer" to peer, "bytes" to bytes)

    private fun logDeclining() {
        val declines = declines
        if (declines == wasDeclining) return
        wasDeclining = declines
        val decision = if (declines) "declines to be asked" else "can be asked"
        val reason = "the time that the document takes on the link"
        decisions.record("source", decision, reason, "bytes" to relay.documentBytes, "megabitsPerSecond" to linkMegabitsPerSecond)
    }

    private fun logSource(source: String) {
        if (source != lastSource) decisions.record("source", "reads $source", "the order of readers", "before" to lastSource)
        lastSource = source
    }
}
