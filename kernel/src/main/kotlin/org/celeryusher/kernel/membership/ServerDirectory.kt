package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The backend servers that the platform lists, as one node believes the list to be.
 *
 * Changes may come late and twice, from a watch and from full reads that are no snapshots; an older state never replaces a newer one.
 *
 * Entries of living servers lapse while the platform is away. A removal that is learnt just after an outage is therefore kept back: the
 * server stays in use until [lapseGrace] after the platform's return, and is gone if its entry has not come back by then.
 */
public class ServerDirectory(
    private val lapseGrace: Duration = DEFAULT_LAPSE_GRACE,
) {
    private class Entry(
        val written: ServerListChange.Written?,
        val revision: Long,
        /** Until when the server is used although its entry is gone; null while the entry stands. */
        val lapsesAt: Moment? = null,
    )

    private val entries = HashMap<InstanceName, Entry>()
    private var isSourceAway = false
    private var outageBegan: Moment? = null
    private var returnedAt = Moment.DISTANT_PAST

    /** The highest revision of the list that this directory has taken in. */
    public var revision: Long = 0
        private set

    /** Takes in that the platform did not answer at [now]. */
    public fun sourceFailed(now: Moment) {
        if (!isSourceAway) outageBegan = now
        isSourceAway = true
    }

    /** Takes in that the platform answered at [now]; to be called before the content of the answer is taken in. */
    public fun sourceAnswered(now: Moment) {
        if (!isSourceAway) return
        isSourceAway = false
        returnedAt = now
    }

    /** Takes in one [change]; ignored when a later one of the same entry is known. */
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

    /** Takes in a full read of the list that began when the list had [startRevision]: entries that it lacks were removed. */
    public fun replaceAll(
        listed: Collection<ServerListChange.Written>,
        startRevision: Long,
        now: Moment,
    ) {
        listed.forEach { apply(it, now) }
        val present = listed.mapTo(HashSet()) { it.instance }
        val absent = entries.filter { (name, entry) -> name !in present && entry.revision <= startRevision && entry.lapsesAt == null }.keys
        absent.toList().forEach { remove(it, startRevision, now) }
        revision = maxOf(revision, startRevision)
    }

    /** Takes in that nothing but what was passed to [apply] has changed up to [reached]. */
    public fun advanceTo(reached: Long) {
        revision = maxOf(revision, reached)
    }

    /** Returns the servers in use at [now]; of several at one address only the one that was listed last. */
    public fun servers(now: Moment): List<ListedServer> =
        entries.values
            .filter { it.lapsesAt == null || now < it.lapsesAt }
            .mapNotNull { it.written }
            .groupBy { it.server.address }
            .values
            .map { sameAddress -> sameAddress.maxBy { it.createdRevision }.server }

    /** Returns when [servers] changes by the passing of time alone, or null when it does not. */
    public fun nextChange(now: Moment): Moment? =
        entries.values
            .mapNotNull { it.lapsesAt }
            .filter { it > now }
            .minOrNull()

    private fun remove(
        instance: InstanceName,
        revision: Long,
        now: Moment,
    ) {
        val known = entries[instance]
        val isLapse = known?.written != null && known.lapsesAt == null && outageBegan != null && now < returnedAt + lapseGrace
        entries[instance] = if (isLapse) Entry(known.written, revision, returnedAt + lapseGrace) else Entry(null, revision)
        forgetOldRemovals()
    }

    // A writer that was held up may still write what was true before: a server only counts upwards within one life.
    private fun isOutdated(
        change: ServerListChange.Written,
        known: Entry?,
    ): Boolean {
        val before = known?.written?.takeIf { known.lapsesAt == null }?.server ?: return false
        val after = change.server
        val startedBefore = before.startedAtMilliseconds ?: return false
        val startedAfter = after.startedAtMilliseconds ?: return false
        return startedAfter < startedBefore || (startedAfter == startedBefore && after.heartbeat < before.heartbeat)
    }

    private fun forgetOldRemovals() {
        if (entries.size <= MOST_ENTRIES) return
        val removed = entries.filterValues { it.written == null }.entries.sortedBy { it.value.revision }
        removed.take(entries.size - MOST_ENTRIES).forEach { entries -= it.key }
    }

    private companion object {
        /** The platform's promise: entries of living servers are back about two seconds after its return. */
        val DEFAULT_LAPSE_GRACE = 2.seconds

        /** Bounds the memory of removed entries; a fleet of the design size has 1,600 servers. */
        const val MOST_ENTRIES = 8_192
    }
}
