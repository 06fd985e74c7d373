package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * This node's copy of the platform's list of backend servers.
 *
 * Changes come from a watch and from full reads that are not consistent snapshots, and may arrive late or more than once. An older state
 * never replaces a newer one.
 *
 * Entries of running servers expire while the platform is unavailable. A removal that is received soon after an outage is therefore
 * deferred: the server stays in use until [expiryGrace] after the platform's recovery, and is removed if its entry has not been written
 * again by then. Failed reads of this node alone are no outage: no removal is deferred if another node, or this one, had an answer within
 * [minimumOutage], since no entry can have expired in such a short time.
 */
public class ServerDirectory(
    private val expiryGrace: Duration = DEFAULT_EXPIRY_GRACE,
    private val minimumOutage: Duration = DEFAULT_MINIMUM_OUTAGE,
) {
    private class Entry(
        val written: ServerListChange.Written?,
        val revision: Long,
        /** Until when the server stays in use although its entry was removed; null while the entry exists. */
        val removeAt: Moment? = null,
    )

    private val entries = HashMap<InstanceName, Entry>()
    private var isSourceUnavailable = false
    private var answeredAt = Moment.DISTANT_PAST
    private var recoveredAt = Moment.DISTANT_PAST

    /** The highest revision of the list up to which changes have been applied. */
    public var revision: Long = 0
        private set

    /** Records that the platform did not answer this node. */
    public fun sourceFailed() {
        isSourceUnavailable = true
    }

    /** Records that the platform answered this node or another one at [now]. Call this before the content of the answer is applied. */
    public fun sourceAnswered(now: Moment) {
        if (isSourceUnavailable && now - answeredAt >= minimumOutage) recoveredAt = now
        isSourceUnavailable = false
        answeredAt = maxOf(answeredAt, now)
    }

    /** Applies [change], unless a later change of the same entry is known. */
    public fun apply(
        change: ServerListChange,
        now: Moment,
    ) {
        revision = maxOf(revision, change.revision)
        val known = entries[change.instance]
        if (known != null && known.revision >= change.revision) return
        when (change) {
            is ServerListChange.Written -> {
                if (!isOutdated(change, known)) entries[change.instance] = Entry(change, change.revision)
            }

            is ServerListChange.Removed -> {
                remove(change.instance, change.revision, now)
            }
        }
    }

    /** Applies a full read of the list that began at [startRevision]: entries that are not in [listed] were removed. */
    public fun replaceAll(
        listed: Collection<ServerListChange.Written>,
        startRevision: Long,
        now: Moment,
    ) {
        listed.forEach { apply(it, now) }
        val present = listed.mapTo(HashSet()) { it.instance }
        val absent = entries.filter { (name, entry) -> name !in present && entry.revision <= startRevision && entry.removeAt == null }.keys
        absent.toList().forEach { remove(it, startRevision, now) }
        revision = maxOf(revision, startRevision)
    }

    /** Records that all changes up to revision [reached] have been passed to [apply]. */
    public fun advanceTo(reached: Long) {
        revision = maxOf(revision, reached)
    }

    /** Returns the servers in use at [now]; of several servers with one address, only the one whose entry was created last. */
    public fun servers(now: Moment): List<ListedServer> = entriesInUse(now).map { it.server }

    /** The entries that exist, without those of servers that stay in use after an outage: each node decides about these for itself. */
    public val listedEntries: List<ServerListChange.Written> get() = entries.values.filter { it.removeAt == null }.mapNotNull { it.written }

    /** Returns the entries of the servers in use at [now], as [servers] does. */
    public fun entriesInUse(now: Moment): List<ServerListChange.Written> =
        entries.values
            .filter { it.removeAt == null || now < it.removeAt }
            .mapNotNull { it.written }
            .groupBy { it.server.address }
            .values
            .map { sameAddress -> sameAddress.maxBy { it.createdRevision } }

    /** Returns the servers in use at [now] whose entries were removed, with the time at which each removal takes effect. */
    public fun deferredRemovals(now: Moment): Map<InstanceName, Moment> =
        entries.mapNotNull { (name, entry) -> entry.removeAt?.takeIf { it > now }?.let { name to it } }.toMap()

    /** Returns when the next deferred removal takes effect, or null if there is none. */
    public fun nextExpiry(now: Moment): Moment? = deferredRemovals(now).values.minOrNull()

    private fun remove(
        instance: InstanceName,
        revision: Long,
        now: Moment,
    ) {
        val known = entries[instance]
        val isExpiry = known?.written != null && known.removeAt == null && now < recoveredAt + expiryGrace
        entries[instance] = if (isExpiry) Entry(known.written, revision, recoveredAt + expiryGrace) else Entry(null, revision)
        discardOldRemovals()
    }

    // A delayed writer may still write an outdated entry. Within one process start, the sequence number of a server only rises.
    private fun isOutdated(
        change: ServerListChange.Written,
        known: Entry?,
    ): Boolean {
        val before = known?.written?.takeIf { known.removeAt == null }?.server ?: return false
        val after = change.server
        val startedBefore = before.startedAtMilliseconds ?: return false
        val startedAfter = after.startedAtMilliseconds ?: return false
        return startedAfter < startedBefore || (startedAfter == startedBefore && after.sequenceNumber < before.sequenceNumber)
    }

    private fun discardOldRemovals() {
        if (entries.size <= MAXIMUM_ENTRIES) return
        val removed = entries.filterValues { it.written == null }.entries.sortedBy { it.value.revision }
        removed.take(entries.size - MAXIMUM_ENTRIES).forEach { entries -= it.key }
    }

    private companion object {
        /** The platform guarantees that the entries of running servers are written again about two seconds after its recovery. */
        val DEFAULT_EXPIRY_GRACE = 2.seconds

        /** An entry expires after three heartbeats without a write, of which at least two fall into the outage. */
        val DEFAULT_MINIMUM_OUTAGE = 1_500.milliseconds

        /** Limits the memory for removed entries; a fleet of the design size has 1,600 servers. */
        const val MAXIMUM_ENTRIES = 8_192
    }
}
