package org.celeryusher.node.source

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.distribution.ReadBackoff
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.membership.ListedServer
import org.celeryusher.kernel.membership.ListedServerState
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.membership.ServerDirectory
import org.celeryusher.kernel.membership.ServerListChange
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Watches the platform's list of backend servers and derives the membership view of this node from it. */
internal class ServerListWatcher(
    private val settings: NodeSettings,
    private val reader: PlatformReader,
    private val routing: RoutingState,
    private val clock: ProcessClock,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    private val directory = ServerDirectory()
    private val backoff = ReadBackoff()
    private val readRequests = Channel<Unit>(Channel.CONFLATED)
    private var isSourceLost = false
    private var needsFullRead = true

    /** The time of the last answer from the platform, or [Moment.DISTANT_PAST] before the first one. */
    @Volatile
    var lastAnswer: Moment = Moment.DISTANT_PAST
        private set

    /** The revision of the list that is held, or null before the first answer. */
    @Volatile
    var revision: Long? = null
        private set

    /** Returns the time since the platform last answered, or null when it never did. */
    fun age(now: Moment): Duration? = if (lastAnswer == Moment.DISTANT_PAST) null else now - lastAnswer

    /** Ends the current pause between reads. */
    fun readSoon() {
        readRequests.trySend(Unit)
    }

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            val startedAt = clock.now()
            val pause = handle(if (needsFullRead) reader.readServers() else reader.awaitServers(directory.revision, WATCH_WAIT))
            val until = if (pause != null) clock.now() + pause else startedAt + READ_INTERVAL
            waitUntil(until)
        }
    }

    /** Handles the result of one read; returns the pause after a failure, or null after a success. */
    private fun handle(reading: PlatformReadResult<List<ServerListChange>>): Duration? {
        val now = clock.now()
        return when (reading) {
            is PlatformReadResult.Value -> {
                handleAnswer(reading, now)
                null
            }

            is PlatformReadResult.HistoryGone -> {
                decisions.record("source", "list read anew", "the platform dropped its history", "revision" to directory.revision)
                needsFullRead = true
                Duration.ZERO
            }

            is PlatformReadResult.Unavailable -> {
                handleFailure(reading, now)
                backoff.failed(random, reading.retryAfter)
            }
        }
    }

    private fun handleAnswer(
        reading: PlatformReadResult.Value<List<ServerListChange>>,
        now: Moment,
    ) {
        if (isSourceLost) decisions.record("source", "list regained", "the platform answers", "revision" to reading.revision)
        isSourceLost = false
        backoff.succeeded()
        directory.sourceAnswered(now)
        if (needsFullRead) {
            directory.replaceAll(reading.value.filterIsInstance<ServerListChange.Written>(), reading.revision, now)
        } else {
            reading.value.forEach { directory.apply(it, now) }
            directory.advanceTo(reading.revision)
        }
        needsFullRead = false
        lastAnswer = now
        revision = directory.revision
        publish(now)
    }

    private fun handleFailure(
        reading: PlatformReadResult.Unavailable,
        now: Moment,
    ) {
        if (!isSourceLost) decisions.record("source", "list lost", reading.reason, "revision" to directory.revision)
        isSourceLost = true
        directory.sourceFailed(now)
        publish(now)
    }

    private suspend fun waitUntil(moment: Moment) {
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
        val members = directory.servers(now).sortedBy { it.instance }.map(::memberOf)
        val before = routing.current.view.members
        if (members == before.sortedBy { it.instance }) return
        for (change in differences(before.associateBy { it.instance }, members.associateBy { it.instance })) {
            decisions.record("servers", change, "the platform's list", "revision" to directory.revision)
        }
        routing.updateView(MembershipView(members))
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
            state = if (server.state == ListedServerState.READY) MemberState.LIVE else MemberState.LEAVING,
            slots = server.slots,
        )

    private companion object {
        /**
         * The minimum time between two reads.
         *
         * Heartbeats change the list many times a second. With this interval nodes still notice a leaving server within the limit of
         * two seconds.
         */
        val READ_INTERVAL = 1_400.milliseconds

        /** How long one read waits for a change. */
        val WATCH_WAIT = 1_000.milliseconds
    }
}
