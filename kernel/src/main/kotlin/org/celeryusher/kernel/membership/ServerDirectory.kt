package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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
 *
 * Where the store has lost changes and is in a new era, removals are deferred in the same way, and an entry counts only if its process is
 * newer or has written it later than the entry that is known: what the store lists may be older than what it had acknowledged.
 */
public class ServerDirectory(
    private val expiryGrace: Duration = DEFAULT_EXPIRY_GRACE,
    private val minimumOutage: Duration = DEFAULT_MINIMUM_OUTAGE,
) {
    private data class Entry(
        /** The latest known entry of the server, or null if none is known. */
        val written: ServerListChange.Written?,
        val position: StorePosition,
        /** Until when the server stays in use although its entry was removed, [Moment.DISTANT_PAST] for not at all; null while the entry exists. */
        val removeAt: Moment? = null,
    )

    private val entries = HashMap<InstanceName, Entry>()
    private var isSourceUnavailable = false
    private var answeredAt = Moment.DISTANT_PAST
    private var recoveredAt = Moment.DISTANT_PAST

    /** When this node last learned that the store had lost changes, or that it was back after a further outage since; first its first answer. */
    private var lostChangesAt = Moment.DISTANT_PAST

    /** The latest position up to which changes have been applied. */
    public var position: StorePosition = StorePosition.START
        private set

    /** Records that the platform did not answer this node. */
    public fun sourceFailed() {
        isSourceUnavailable = true
    }

    /**
     * Records that the platform answered this node or another one at [now] with its state at [reached]. Call this before the content of the
     * answer is applied.
     */
    public fun sourceAnswered(
        now: Moment,
        reached: StorePosition = StorePosition.START,
    ) {
        reach(reached, now)
        if (isSourceUnavailable && now - answeredAt >= minimumOutage) {
            if (entries.values.any(::isHeldUntilAnswer)) deferAnew(now) else recoveredAt = now
        }
        isSourceUnavailable = false
        answeredAt = maxOf(answeredAt, now)
    }

    /** Applies [change], unless a later change of the same entry is known. */
    public fun apply(
        change: ServerListChange,
        now: Moment,
    ) {
        reach(change.position, now)
        val known = entries[change.instance]
        if (known != null && known.position >= change.position) return
        when (change) {
            is ServerListChange.Written -> {
                if (!isOutdated(change, known, now)) entries[change.instance] = Entry(change, change.position)
            }

            is ServerListChange.Removed -> {
                change.lastSequenceNumber?.let { recordSequence(change.instance, it) }
                remove(change.instance, change.position, now)
            }
        }
    }

    /** Applies a full read of the list that began at [start]: entries that are not in [listed] were removed. */
    public fun replaceAll(
        listed: Collection<ServerListChange.Written>,
        start: StorePosition,
        now: Moment,
    ) {
        reach(start, now)
        listed.forEach { apply(it, now) }
        val present = listed.mapTo(HashSet()) { it.instance }
        val absent = entries.filter { (name, entry) -> name !in present && entry.position <= start && entry.removeAt == null }.keys
        absent.toList().forEach { remove(it, start, now) }
    }

    /** Records that all changes up to [reached] have been passed to [apply]. */
    public fun advanceTo(
        reached: StorePosition,
        now: Moment,
    ): Unit = reach(reached, now)

    /** Returns the servers in use at [now]; of several servers with one address, only the one whose entry was created last. */
    public fun servers(now: Moment): List<ListedServer> = entriesInUse(now).map { it.server }

    /**
     * Returns the entries that exist at [now], and those that the store may have lost.
     *
     * Those of servers that stay in use after an outage without a loss are left out: each node decides about these for itself.
     */
    public fun listedEntries(now: Moment): List<ServerListChange.Written> =
        entries.values.filter { it.removeAt == null || (isLost(it) && isDeferred(it, now)) }.mapNotNull { it.written }

    /** Returns the entries of the servers in use at [now], as [servers] does. */
    public fun entriesInUse(now: Moment): List<ServerListChange.Written> =
        entries.values
            .filter { it.removeAt == null || isDeferred(it, now) }
            .mapNotNull { it.written }
            .groupBy { it.server.address }
            .values
            .map { sameAddress -> sameAddress.maxBy { it.created } }

    /** Returns the servers in use at [now] whose entries were removed, with the time at which each removal takes effect. */
    public fun deferredRemovals(now: Moment): Map<InstanceName, Moment> =
        entries.mapNotNull { (name, entry) -> entry.removeAt?.takeIf { isDeferred(entry, now) }?.let { name to it } }.toMap()

    /** Returns when the next deferred removal takes effect, or null if there is none. */
    public fun nextExpiry(now: Moment): Moment? = deferredRemovals(now).values.filter { it > now }.minOrNull()

    // In a new era the store has lost changes, so that an entry that it does not list may be written again.
    private fun reach(
        reached: StorePosition,
        now: Moment,
    ) {
        // Other nodes may pass on to a node that has just started what they know from an earlier era.
        if (position == StorePosition.START && reached != position) lostChangesAt = now
        if (position != StorePosition.START && reached.era > position.era) deferAnew(now)
        position = maxOf(position, reached)
    }

    private fun deferAnew(now: Moment) {
        val end = now + expiryGrace
        for (entry in entries.entries) if (isDeferred(entry.value, now)) entry.setValue(entry.value.copy(removeAt = end))
        recoveredAt = now
        lostChangesAt = now
    }

    /** Returns whether the server of [entry] is still in use at [now] although its entry was removed. */
    private fun isDeferred(
        entry: Entry,
        now: Moment,
    ): Boolean = entry.removeAt != null && (now < entry.removeAt || isHeldUntilAnswer(entry))

    // A store that has lost changes and is away again can show neither that an entry is missing nor that it is back.
    private fun isHeldUntilAnswer(entry: Entry): Boolean = entry.removeAt != null && isLost(entry) && answeredAt < entry.removeAt

    /** Returns whether the store may have lost [entry]. */
    private fun isLost(entry: Entry): Boolean = entry.removeAt == lostChangesAt + expiryGrace

    // The entries of a follower lack the heartbeats, which are not passed on.
    private fun recordSequence(
        instance: InstanceName,
        sequenceNumber: Long,
    ) {
        val known = entries[instance] ?: return
        val server = known.written?.server ?: return
        val latest = server.copy(sequenceNumber = maxOf(server.sequenceNumber, sequenceNumber))
        entries[instance] = known.copy(written = known.written.copy(server = latest))
    }

    private fun remove(
        instance: InstanceName,
        position: StorePosition,
        now: Moment,
    ) {
        val known = entries[instance]
        val isInUse = known?.written != null && (known.removeAt == null || isDeferred(known, now))
        val isFromBefore = known != null && known.position.era < position.era
        val graceFrom = if (isFromBefore) maxOf(recoveredAt, lostChangesAt) else recoveredAt
        val isExpiry = isInUse && now < graceFrom + expiryGrace
        entries[instance] = Entry(known?.written, position, if (isExpiry) graceFrom + expiryGrace else Moment.DISTANT_PAST)
        discardOldRemovals()
    }

    // A delayed writer may still write an outdated entry, and a store that has lost changes lists outdated ones, also of servers that are gone.
    // Within one process start, the sequence number of a server only rises.
    private fun isOutdated(
        change: ServerListChange.Written,
        known: Entry?,
        now: Moment,
    ): Boolean {
        val before = known?.written?.server ?: return false
        val isRemoved = known.removeAt != null
        if (isRemoved && known.position.era == change.era) return false
        val after = change.server
        val startedBefore = before.startedAtMilliseconds ?: return false
        val startedAfter = after.startedAtMilliseconds ?: return false
        return when {
            startedAfter != startedBefore -> startedAfter < startedBefore
            isRemoved && !isDeferred(known, now) -> after.sequenceNumber <= before.sequenceNumber
            else -> after.sequenceNumber < before.sequenceNumber
        }
    }

    private fun discardOldRemovals() {
        if (entries.size <= MAXIMUM_ENTRIES) return
        val removed = entries.filterValues { it.removeAt == Moment.DISTANT_PAST }.entries.sortedBy { it.value.position }
        removed.take(entries.size - MAXIMUM_ENTRIES).forEach { entries -= it.key }
    }

    private companion object {
        val DEFAULT_EXPIRY_GRACE = LostWrites.SERVER_BOUND

        /** An entry expires after three heartbeats without a write, of which at least two fall into the outage. */
        val DEFAULT_MINIMUM_OUTAGE = 1_500.milliseconds

        /** Limits the memory for removed entries; a fleet of the design size has 1,600 servers. */
        const val MAXIMUM_ENTRIES = 8_192
    }
}
