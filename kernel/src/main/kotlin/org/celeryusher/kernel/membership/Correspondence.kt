package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import kotlin.time.Duration

/** Writes messages, with the news and hash that every message carries, and numbers the exchanges. */
internal class Correspondence(
    private val self: SelfMember,
    private val table: MemberTable,
    private val queue: NewsQueue,
) {
    private var lastNumber = 0L

    /**
     * Returns a message to [peer], which is null when only its address is known.
     *
     * What this node believes of the peer comes first when the peer must refute it (Lifeguard's buddy system, section IV-C).
     */
    fun messageTo(peer: InstanceName?): GossipMessage {
        val aboutPeer =
            peer
                ?.let(table::get)
                ?.takeIf { it.state == MemberState.SUSPECTED || it.state == MemberState.DEAD }
                ?.toNews()
        val queued = queue.take(table.fleetSize) { if (it == self.instance) self.toNews() else table[it]?.toNews() }
        val others = queued.filter { it.instance != peer && it.instance != self.instance }
        return GossipMessage(self.toNews(), table.hash(), listOfNotNull(aboutPeer) + others)
    }

    /** Returns an exchange under a new number; [complete] adds to its message. */
    fun exchange(
        peer: InstanceName?,
        address: Address,
        timeout: Duration,
        purpose: ExchangePurpose,
        complete: GossipMessage.() -> GossipMessage = { this },
    ): MembershipDecision.StartExchange =
        MembershipDecision.StartExchange(++lastNumber, peer, address, messageTo(peer).complete(), timeout, purpose)
}
