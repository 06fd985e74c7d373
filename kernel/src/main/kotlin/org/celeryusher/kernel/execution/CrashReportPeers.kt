package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the peers that a node asks for crash reports.
 *
 * Each node keeps [QUERIES] queries pending. The first one is at its successor in the order of the nodes, so that each node is asked by
 * another one. The others are at random peers, so that a report reaches all nodes in a number of steps that grows with the logarithm of
 * their number. A random peer is asked for [stay] before another one is drawn. A peer that did not answer is left out for [peerPause].
 * Not thread-safe.
 */
public class CrashReportPeers(
    private val ownAddress: Address,
    private val peerPause: Duration = 2.seconds,
    private val stay: Duration = 30.seconds,
) {
    private class Choice(
        val address: Address,
        val since: Moment,
    )

    private val failedUntil = HashMap<Address, Moment>()
    private val choices = HashMap<Int, Choice>()
    private var ring: List<Address> = emptyList()
    private var others: Set<Address> = emptySet()

    /** The number of other nodes that can be asked. */
    public val size: Int get() = ring.size

    /** Replaces the nodes that can be asked by those of [members] that are not known to be dead. */
    public fun updateMembers(members: Collection<Member>) {
        val addresses = members.filter { it.state != MemberState.DEAD && it.frameAddress != ownAddress }.map { it.frameAddress }
        others = addresses.toSet()
        ring = others.sortedWith(order)
    }

    /** Returns the peer that query [position] asks at [now], or null when there is none that is not asked by another query. */
    public fun choose(
        position: Int,
        random: Random,
        now: Moment,
    ): Address? {
        failedUntil.values.removeIf { it <= now }
        val before = choices.remove(position)
        if (position != 0 && before != null && now - before.since < stay && before.address in others && isUsable(before.address)) {
            choices[position] = before
            return before.address
        }
        val peer = if (position == 0) successor() else drawRandom(random)
        if (peer != null) choices[position] = Choice(peer, now)
        return peer
    }

    /** Records that [peer] did not answer. */
    public fun recordFailure(
        peer: Address,
        now: Moment,
    ) {
        failedUntil[peer] = now + peerPause
    }

    private fun isUsable(address: Address): Boolean = address !in failedUntil && choices.values.none { it.address == address }

    private fun successor(): Address? {
        val start = ring.binarySearch(ownAddress, order).let { if (it < 0) -it - 1 else it }
        return ring.indices.firstNotNullOfOrNull { offset -> ring[(start + offset) % ring.size].takeIf(::isUsable) }
    }

    private fun drawRandom(random: Random): Address? {
        repeat(DRAWS) { ring.randomOrNull(random)?.takeIf(::isUsable)?.let { return it } }
        return ring.filter(::isUsable).randomOrNull(random)
    }

    public companion object {
        /** The number of queries that a node keeps pending. */
        public const val QUERIES: Int = 3

        /** The random draws before the usable peers are collected. */
        private const val DRAWS = 8
        private val order = compareBy(Address::host, Address::port)
    }
}
