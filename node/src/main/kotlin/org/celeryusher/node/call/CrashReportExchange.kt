package org.celeryusher.node.call

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.execution.CrashReportPeers
import org.celeryusher.kernel.execution.FirstCrashReports
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.membership.Member
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.keepRunning
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends a [Frame.CrashQuery] to the node at an address; returns null when no answer arrives within the timeout. */
internal fun interface CrashReportSource {
    suspend fun query(
        address: Address,
        query: Frame.CrashQuery,
        timeout: Duration,
    ): Frame.CrashUpdate?
}

/**
 * Asks other nodes for the crashes that they know of, as [CrashReportPeers] chooses them.
 *
 * A node takes reports only over connections that it has opened to a listed node, and never those that another one sends unasked.
 * Thread-safe.
 */
internal class CrashReportExchange(
    ownAddress: Address,
    private val crashes: CrashRegistry,
    private val source: CrashReportSource,
    private val clock: ProcessClock,
    private val random: Random,
) {
    /** The position in the change numbers of one process of a peer. */
    private class Cursor(
        val processStart: Long,
        val number: Long,
    )

    private val peers = CrashReportPeers(ownAddress)
    private val first = FirstCrashReports()
    private val cursors = HashMap<Address, Cursor>()
    private val memberChanges = MutableStateFlow(0)

    /** Whether this node knows enough of the crashes in the fleet to place calls. */
    val isInformed: Boolean @Synchronized get() = first.isInformed(clock.now())

    /** Replaces the nodes that can be asked by [members]. */
    @Synchronized
    fun updateMembers(members: Collection<Member>) {
        peers.updateMembers(members)
        val addresses = members.mapTo(HashSet()) { it.frameAddress }
        cursors.keys.retainAll(addresses)
        first.recordPeers(peers.size, clock.now())
        memberChanges.value++
    }

    /** Exchanges crash reports until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            repeat(CrashReportPeers.QUERIES) { position ->
                launch { keepRunning("crash reports") { while (true) askNext(position) } }
            }
        }

    private suspend fun askNext(position: Int) {
        val peer = choosePeer(position)
        if (peer == null) return awaitPeer(position)
        val wait = if (isInformed) QUERY_WAIT else Duration.ZERO
        val known = synchronized(this) { cursors[peer] }
        val query = Frame.CrashQuery(0, known?.processStart, known?.number, wait.inWholeMilliseconds)
        val update = source.query(peer, query, wait + ANSWER_MARGIN)
        if (update == null) recordFailure(position, peer) else apply(position, peer, update)
        delay(QUERY_PAUSE)
    }

    @Synchronized
    private fun choosePeer(position: Int): Address? = peers.choose(position, random, clock.now())

    private suspend fun awaitPeer(position: Int) {
        val known = memberChanges.value
        synchronized(this) { if (peers.size > 0) first.recordFailure(position) }
        withTimeoutOrNull(NO_PEER_PAUSE) { memberChanges.first { it != known } }
    }

    @Synchronized
    private fun recordFailure(
        position: Int,
        peer: Address,
    ) {
        peers.recordFailure(peer, clock.now())
        first.recordFailure(position)
    }

    private fun apply(
        position: Int,
        peer: Address,
        update: Frame.CrashUpdate,
    ) {
        update.reports.forEach { crashes.merge(it, peer.toString(), clock.now()) }
        synchronized(this) {
            cursors[peer] = Cursor(update.processStart, update.cursor)
            first.recordAnswer(position, update.isInformed)
        }
    }

    private companion object {
        /** How long a peer holds a query while nothing changes. */
        val QUERY_WAIT = 2.seconds

        /** How much longer than its wait a query may take before the peer is considered failed. */
        val ANSWER_MARGIN = 300.milliseconds

        /** The time between two queries, so that changes in quick succession arrive together. */
        val QUERY_PAUSE = 50.milliseconds
        val NO_PEER_PAUSE = 250.milliseconds
    }
}
