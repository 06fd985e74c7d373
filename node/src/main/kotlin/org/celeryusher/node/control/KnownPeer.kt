package org.celeryusher.node.control

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.GossipMessage

/** The sender of a message, with the address that the message states. */
internal data class KnownPeer(
    val instance: InstanceName,
    val dataCentre: DataCentreName,
    val controlAddress: Address,
) {
    companion object {
        /** Returns the sender of [message], or null when the message does not state its address. */
        fun ofOrNull(message: GossipMessage): KnownPeer? =
            message.sender.metadata?.let { KnownPeer(message.sender.instance, it.dataCentre, it.controlAddress) }

        /** Returns the sender of [announcement]. */
        fun of(announcement: ConfigurationAnnouncement): KnownPeer =
            KnownPeer(announcement.sender, announcement.dataCentre, announcement.controlAddress)
    }
}
