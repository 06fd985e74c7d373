package org.celeryusher.node.control

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.GossipMessage

/** The node that sent a message, as the message describes it. */
internal data class KnownPeer(
    val instance: InstanceName,
    val dataCentre: DataCentreName,
    val controlAddress: Address,
) {
    companion object {
        /** Returns the sender of [message], or null when the message does not say where it is. */
        fun ofOrNull(message: GossipMessage): KnownPeer? =
            message.sender.metadata?.let { KnownPeer(message.sender.instance, it.dataCentre, it.controlAddress) }

        /** Returns the sender of [news]. */
        fun of(news: ConfigurationNews): KnownPeer = KnownPeer(news.sender, news.dataCentre, news.controlAddress)
    }
}
