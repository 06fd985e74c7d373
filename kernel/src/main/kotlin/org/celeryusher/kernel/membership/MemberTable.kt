package org.celeryusher.kernel.membership

import net.openhft.hashing.LongHashFunction
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import java.util.TreeMap

/** The records of all other members, in order of name; computes the hash and the view of them and of this node. */
internal class MemberTable(
    private val self: SelfMember,
) {
    private val records = TreeMap<InstanceName, MemberRecord>()
    private val changes = mutableListOf<MemberChange>()

    /** The combined hash of the records, updated incrementally with each change. */
    private var recordsHash = 0L

    /** The number of members that are not dead, this node included. */
    var fleetSize: Int = 1
        private set

    val all: Collection<MemberRecord> get() = records.values

    operator fun get(instance: InstanceName): MemberRecord? = records[instance]

    fun add(
        record: MemberRecord,
        reason: MemberChangeReason,
    ) {
        records[record.instance] = record
        updateTotals(record, 1)
        recordChange(record.instance, null, record.visibleState, reason)
    }

    fun remove(
        record: MemberRecord,
        reason: MemberChangeReason,
    ) {
        records.remove(record.instance)
        updateTotals(record, -1)
        recordChange(record.instance, record.visibleState, null, reason)
    }

    /** Applies [change] to [record], and records a [MemberChange] if the member that the view shows is different afterwards. */
    fun modify(
        record: MemberRecord,
        reason: MemberChangeReason,
        change: MemberRecord.() -> Unit,
    ) {
        val before = record.toMember()
        updateTotals(record, -1)
        record.change()
        updateTotals(record, 1)
        if (record.toMember() != before) recordChange(record.instance, before.state, record.visibleState, reason)
    }

    /** Records a change of this node's own state or incarnation. */
    fun recordSelfChange(
        from: MemberState?,
        reason: MemberChangeReason,
    ) {
        recordChange(self.instance, from, self.state, reason)
    }

    /** Records that the eviction of [record] is held. */
    fun recordEvictionHeld(record: MemberRecord): Unit =
        recordChange(record.instance, record.visibleState, record.visibleState, MemberChangeReason.EVICTION_HELD)

    /** Returns the changes since the last call, and clears them. */
    fun drainChanges(): List<MemberChange> {
        val taken = changes.toList()
        changes.clear()
        return taken
    }

    fun view(): MembershipView = MembershipView(records.values.map(MemberRecord::toMember) + self.toMember())

    /** Returns the hash of the whole member list, this node included. */
    fun hash(): Long = recordsHash xor hashOf(self.toUpdate())

    /** Returns the page entries of all members, this node included, after [after] up to and including [through]. */
    fun range(
        after: InstanceName?,
        through: InstanceName?,
    ): List<MemberUpdate> {
        val tail = if (after == null) records.values else records.tailMap(after, false).values
        val others =
            tail
                .asSequence()
                .takeWhile { through == null || it.instance <= through }
                .mapNotNull(MemberRecord::toPageEntry)
                .toList()
        val includesSelf = (after == null || self.instance > after) && (through == null || self.instance <= through)
        return if (includesSelf) (others + self.toUpdate()).sortedBy { it.instance } else others
    }

    private fun recordChange(
        instance: InstanceName,
        from: MemberState?,
        to: MemberState?,
        reason: MemberChangeReason,
    ) {
        changes += MemberChange(instance, from, to, reason)
    }

    private fun updateTotals(
        record: MemberRecord,
        change: Int,
    ) {
        if (record.state == MemberState.DEAD) return
        fleetSize += change
        record.toUpdate()?.let { recordsHash = recordsHash xor hashOf(it) }
    }

    companion object {
        /** Returns the hash of [entries] without the dead members, whose tombstones nodes remove at different times. */
        fun hashOf(entries: List<MemberUpdate>): Long =
            entries
                .filter { it.state != MemberState.DEAD }
                .fold(0L) { hash, entry -> hash xor hashOf(entry) }

        private fun hashOf(entry: MemberUpdate): Long {
            val seed = LongHashFunction.xx3().hashChars(entry.instance.value)
            return LongHashFunction.xx3(seed).hashLongs(longArrayOf(entry.start, entry.refutation.toLong(), entry.state.ordinal.toLong()))
        }
    }
}

/** The state of this node itself. */
internal class SelfMember(
    private val description: Member,
    var incarnation: Incarnation,
) {
    val instance: InstanceName = description.instance
    val metadata: MemberMetadata = description.metadata
    var state: MemberState = MemberState.LIVE

    fun toMember(): Member = description.copy(incarnation = incarnation, state = state)

    fun toUpdate(): MemberUpdate = MemberUpdate(instance, incarnation.start, incarnation.refutation, state, metadata = metadata)
}
