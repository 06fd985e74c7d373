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

/** Follows the platform's list of backend servers and turns it into the membership view of this node. */
internal class ServerListFollower(
    private val settings: NodeSettings,
    private val reader: PlatformReader,
    private val routing: RoutingState,
    private val clock: ProcessClock,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    private val directory = ServerDirectory()
    private val backoff = ReadBackoff()
    private val wanted = Channel<Unit>(Channel.CONFLATED)
    private var isSourceAway = false
    private var mustReadAll = true

    /** When the platform last answered. */
    @Volatile
    var lastAnswer: Moment = Moment.DISTANT_PAST
        private set

    /** The revision of the list that is held, or null before the first answer. */
    @Volatile
    var revision: Long? = null
        private set

    /** Returns how old the list is, or null when none was read. */
    fun age(now: Moment): Duration? = if (lastAnswer == Moment.DISTANT_PAST) null else now - lastAnswer

    /** Ends the present pause between reads. */
    fun readSoon() {
        wanted.trySend(Unit)
    }

    /** Follows until cancelled. */
    suspend fun run() {
        while (true) {
            val began = clock.now()
            val pause = take(if (mustReadAll) reader.readServers() else reader.awaitServers(directory.revision, WATCH_WAIT))
            val until = if (pause != null) clock.now() + pause else began + READ_INTERVAL
            waitUntil(until)
        }
    }

    /** Takes in one reading; returns how long to pause after a failure, or null after a success. */
    private fun take(reading: PlatformReading<List<ServerListChange>>): Duration? {
        val now = clock.now()
        return when (reading) {
            is PlatformReading.Value -> {
                answered(reading, now)
                null
            }

            is PlatformReading.HistoryGone -> {
                decisions.decision("source", "list read anew", "the platform dropped its history", "revision" to directory.revision)
                mustReadAll = true
                Duration.ZERO
            }

            is PlatformReading.Unavailable -> {
                failed(reading, now)
                backoff.failed(random, reading.retryAfter)
            }
        }
    }

    private fun answered(
        reading: PlatformReading.Value<List<ServerListChange>>,
        now: Moment,
    ) {
        if (isSourceAway) decisions.decision("source", "list regained", "the platform answers", "revision" to reading.revision)
        isSourceAway = false
        backoff.succeeded()
        directory.sourceAnswered(now)
        if (mustReadAll) {
            directory.replaceAll(reading.value.filterIsInstance<ServerListChange.Written>(), reading.revision, now)
        } else {
            reading.value.forEach { directory.apply(it, now) }
            directory.advanceTo(reading.revision)
        }
        mustReadAll = false
        lastAnswer = now
        revision = directory.revision
        publish(now)
    }

    private fun failed(
        reading: PlatformReading.Unavailable,
        now: Moment,
    ) {
        if (!isSourceAway) decisions.decision("source", "list lost", reading.reason, "revision" to directory.revision)
        isSourceAway = true
        directory.sourceFailed(now)
        publish(now)
    }

    private suspend fun waitUntil(moment: Moment) {
        val now = clock.now()
        val lapse = directory.nextChange(now)
        if (lapse != null && lapse < moment) {
            withTimeoutOrNull(lapse - now) { wanted.receive() }
            publish(clock.now())
        }
        val left = moment - clock.now()
        if (left.isPositive()) withTimeoutOrNull(left) { wanted.receive() }
    }

    private fun publish(now: Moment) {
        val members = directory.servers(now).sortedBy { it.instance }.map(::memberOf)
        val before = routing.current.view.members
        if (members == before.sortedBy { it.instance }) return
        for (change in differences(before.associateBy { it.instance }, members.associateBy { it.instance })) {
            decisions.decision("servers", change, "the platform's list", "revision" to directory.revision)
        }
        routing.updateView(MembershipView(members))
    }

    private fun <K, V> differences(
        before: Map<K, V>,
        after: Map<K, V>,
    ): List<String> =
        (before.keys - after.keys).map { "$it gone" } +
            after.filter { (name, member) -> before[name] != member }.map { (name, member) -> "$name is $member" }

    // All nodes of one platform listen at the same ports.
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
        /** Heartbeats change the list many times a second; this pace still meets the bound of two seconds for a leaving server. */
        val READ_INTERVAL = 1_400.milliseconds

        /** How long one read waits for a change when there is none. */
        val WATCH_WAIT = 1_000.milliseconds
    }
}
