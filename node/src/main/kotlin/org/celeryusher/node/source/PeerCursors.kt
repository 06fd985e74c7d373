package org.celeryusher.node.source

import org.celeryusher.kernel.identity.InstanceName

/** The position in the change numbers of one process of a peer. */
internal data class PeerCursor(
    val processStart: Long,
    val number: Long,
)

/**
 * The positions reached in the changes of the peers that were asked last, so that a peer that is asked again does not send its complete list.
 *
 * Each entry of the list has a revision, so changes of one peer that are older than those of another are ignored. Not thread-safe.
 */
internal class PeerCursors(
    private val maximumPeers: Int = MAXIMUM_PEERS,
) {
    private val byPeer = LinkedHashMap<InstanceName, PeerCursor>()

    operator fun get(peer: InstanceName): PeerCursor? = byPeer[peer]

    operator fun set(
        peer: InstanceName,
        cursor: PeerCursor,
    ) {
        byPeer -= peer
        byPeer[peer] = cursor
        if (byPeer.size > maximumPeers) byPeer -= byPeer.keys.first()
    }

    /** Forgets all positions, so that each peer sends its complete list when it is asked next. */
    fun clear(): Unit = byPeer.clear()

    private companion object {
        /** The candidates of the schedule, one peer that offers its data, and as many again for a change of the reader order. */
        const val MAXIMUM_PEERS = 16
    }
}
