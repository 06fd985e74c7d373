package org.celeryusher.kernel.membership

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Numbers the changes of the list of servers at one node, so that the node can tell another one what has changed since they last talked.
 *
 * Servers rewrite their entries at every heartbeat. Only changes that matter for placing calls are numbered, which keeps the messages
 * between nodes small: their size follows the number of changes instead of the number of servers. The remaining cold time falls with each
 * heartbeat; a rise means that the server has become cold again, which its guard must know, so a rise beyond a small tolerance is numbered.
 */
public class ServerListJournal {
    private class Numbered(
        val change: ServerListChange,
        val number: Long,
        /** The least cold time stated since the change was numbered, so that rises that are small one by one do not add up unnoticed. */
        val leastRemaining: Duration = (change as? ServerListChange.Written)?.server?.slowStartRemaining ?: Duration.ZERO,
    )

    private val entries = HashMap<InstanceName, Numbered>()

    /** The number of the latest change, 0 before the first one. */
    public var latest: Long = 0
        private set

    /** Records that the list has [servers] and was read up to [position]. Returns whether anything changed that matters. */
    public fun update(
        servers: Collection<ServerListChange.Written>,
        position: StorePosition,
    ): Boolean {
        val before = latest
        for (server in servers) {
            val entry = entries[server.instance]
            val known = entry?.change
            when {
                known !is ServerListChange.Written || !isSameForPlacement(known, entry.leastRemaining, server) -> record(server)
                known.server != server.server -> {
                    val least = minOf(entry.leastRemaining, server.server.slowStartRemaining)
                    entries[server.instance] = Numbered(server, entry.number, least)
                }
            }
        }
        val present = servers.mapTo(HashSet()) { it.instance }
        val gone = entries.filter { (name, entry) -> name !in present && entry.change is ServerListChange.Written }.keys
        for (name in gone.toList()) {
            val last = entries.getValue(name).change as ServerListChange.Written
            record(ServerListChange.Removed(name, position.revision, position.era, last.server.sequenceNumber))
        }
        discardOldRemovals()
        return latest > before
    }

    /** Returns the changes after change number [cursor], or all servers in use if [cursor] is null or was not issued by this journal. */
    public fun changesSince(cursor: Long?): ServerListChanges {
        val isComplete = cursor == null || cursor > latest || cursor < oldestComplete
        val changes =
            entries.values
                .filter { if (isComplete) it.change is ServerListChange.Written else it.number > checkNotNull(cursor) }
                .sortedBy { it.number }
                .map { it.change }
        return ServerListChanges(changes, latest, isComplete)
    }

    /** The lowest cursor after which no removal has been discarded. */
    private var oldestComplete = 0L

    private fun record(change: ServerListChange) {
        latest += 1
        entries[change.instance] = Numbered(change, latest)
    }

    private fun isSameForPlacement(
        known: ServerListChange.Written,
        leastRemaining: Duration,
        server: ServerListChange.Written,
    ): Boolean =
        known.createdRevision == server.createdRevision &&
            known.server.withoutHeartbeat() == server.server.withoutHeartbeat() &&
            server.server.slowStartRemaining <= leastRemaining + RISE_TOLERANCE

    private fun ListedServer.withoutHeartbeat(): ListedServer = copy(sequenceNumber = 0, slowStartRemaining = Duration.ZERO)

    private fun discardOldRemovals() {
        val removals = entries.filterValues { it.change is ServerListChange.Removed }
        if (removals.size <= MAXIMUM_REMOVALS) return
        for ((name, entry) in removals.entries.sortedBy { it.value.number }.take(removals.size - MAXIMUM_REMOVALS)) {
            entries -= name
            oldestComplete = maxOf(oldestComplete, entry.number)
        }
    }

    private companion object {
        /** A rise up to this is the inaccuracy of the server's figure, since a server that becomes cold again states its whole cold start. */
        val RISE_TOLERANCE = 200.milliseconds

        /** Limits the memory for removed servers; a node that has missed more removals gets the complete list. */
        const val MAXIMUM_REMOVALS = 1_024
    }
}

/** Changes of a server list: [changes] up to change number [cursor], or every server in use if [isComplete]. */
@Serializable
public data class ServerListChanges(
    public val changes: List<ServerListChange>,
    public val cursor: Long,
    public val isComplete: Boolean,
)
