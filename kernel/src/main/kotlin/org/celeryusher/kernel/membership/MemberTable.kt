package org.celeryusher.kernel.membership

import net.openhft.hashing.LongHashFunction
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import java.util.TreeMap

/** The records of all other members, in order of name, and the hash and view made of them and of this node itself. */
internal class MemberTable(
    private val self: SelfMember,
) {
    private val records = TreeMap<InstanceName, MemberRecord>()
    private val changes = mutableListOf<MemberChange>()

    /** The combined hash of the records, kept up to date change by change. */
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
        count(record, 1)
        noteChange(record.instance, null, record.visibleState, reason)
    }

    fun remove(
        record: MemberRecord,
        reason: MemberChangeReason,
    ) {
        records.remove(record.instance)
        count(record, -1)
        noteChange(record.instance, record.visibleState, null, reason)
    }

    /** Applies [change] to [record] and notes what became of its visible state. */
    fun update(
        record: MemberRecord,
        reason: MemberChangeReason,
        change: MemberRecord.() -> Unit,
    ) {
        val before = record.toMember()
        count(record, -1)
        record.change()
        count(record, 1)
        if (record.toMember() != before) noteChange(record.instance, before.state, record.visibleState, reason)
    }

    /** Notes a change of this node's own state or incarnation. */
    fun noteSelfChange(
        from: MemberState?,
        reason: MemberChangeReason,
    ) {
        noteChange(self.instance, from, self.state, reason)
    }

    /** Notes that the eviction of [record] is held back. */
    fun noteHeld(record: MemberRecord): Unit =
        noteChange(record.instance, record.visibleState, record.visibleState, MemberChangeReason.EVICTION_HELD)

    /** Returns the changes since the last call, and forgets them. */
    fun takeChanges(): List<MemberChange> {
        val taken = changes.toList()
        changes.clear()
        return taken
    }

    fun view(): MembershipView = MembershipView(records.values.map(MemberRecord::toMember) + self.toMember())

    /** The hash of the whole list. */
    fun hash(): Long = recordsHash xor hashOf(self.toNews())

    /** Returns what this node tells of the members after [after] up to [through], this node included. */
    fun range(
        after: InstanceName?,
        through: InstanceName?,
    ): List<MemberNews> {
        val tail = if (after == null) records.values else records.tailMap(after, false).values
        val others =
            tail
                .asSequence()
                .takeWhile { through == null || it.instance <= through }
                .mapNotNull(MemberRecord::toPageEntry)
                .toList()
        val isSelfIn = (after == null || self.instance > after) && (through == null || self.instance <= through)
        return if (isSelfIn) (others + self.toNews()).sortedBy { it.instance } else others
    }

    private fun noteChange(
        instance: InstanceName,
        from: MemberState?,
        to: MemberState?,
        reason: MemberChangeReason,
    ) {
        changes += MemberChange(instance, from, to, reason)
    }

    private fun count(
        record: MemberRecord,
        change: Int,
    ) {
        if (record.state == MemberState.DEAD) return
        fleetSize += change
        record.toNews()?.let { recordsHash = recordsHash xor hashOf(it) }
    }

    companion object {
        /** Returns a hash of [entries] that leaves out the dead, whom nodes forget at different times. */
        fun hashOf(entries: List<MemberNews>): Long =
            entries
                .filter { it.state != MemberState.DEAD }
                .fold(0L) { hash, entry -> hash xor hashOf(entry) }

        private fun hashOf(entry: MemberNews): Long {
            val seed = LongHashFunction.xx3().hashChars(entry.instance.value)
            return LongHashFunction.xx3(seed).hashLongs(longArrayOf(entry.start, entry.refutation.toLong(), entry.state.ordinal.toLong()))
        }
    }
}

/** This node as it describes itself. */
internal class SelfMember(
    private val description: Member,
    var incarnation: Incarnation,
) {
    val instance: InstanceName = description.instance
    val place: MemberPlace = description.place
    var state: MemberState = MemberState.LIVE

    fun toMember(): Member = description.copy(incarnation = incarnation, state = state)

    fun toNews(): MemberNews = MemberNews(instance, incarnation.start, incarnation.refutation, state, place = place)
}
