package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import kotlin.time.Duration

/** Creates gossip messages, with the updates and the hash that are part of each message, and numbers the exchanges. */
internal class ExchangeFactory(
    private val self: SelfMember,
    private val table: MemberTable,
    private val queue: UpdateQueue,
) {
    private var lastNumber = 0L

    /**
     * Returns a message to [peer], which is null when only its address is known.
     *
     * If the peer is suspected or dead in the table of this node, that update comes first, so that the peer can refute it (Lifeguard's
     * buddy system, section IV-C).
     */
    fun createMessage(peer: InstanceName?): GossipMessage {
        val aboutPeer =
            peer
                ?.let(table::get)
                ?.takeIf { it.state == MemberState.SUSPECTED || it.state == MemberState.DEAD }
                ?.toUpdate()
        val queued = queue.nextBatch(table.fleetSize) { if (it == self.instance) self.toUpdate() else table[it]?.toUpdate() }
        val others = queued.filter { it.instance != peer && it.instance != self.instance }
        return GossipMessage(self.toUpdate(), table.hash(), listOfNotNull(aboutPeer) + others)
    }

    /** Returns an exchange with a new number; [complete] adds to its message. */
    fun create(
        peer: InstanceName?,
        address: Address,
        timeout: Duration,
        purpose: ExchangePurpose,
        complete: GossipMessage.() -> GossipMessage = { this },
    ): MembershipDecision.StartExchange =
        MembershipDecision.StartExchange(++lastNumber, peer, address, createMessage(peer).complete(), timeout, purpose)
}
