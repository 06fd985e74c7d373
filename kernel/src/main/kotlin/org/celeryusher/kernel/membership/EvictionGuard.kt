package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment

/**
 * Holds back evictions when so many members are in trouble that the fault more likely lies in the network or in this node.
 *
 * Two limits hold for each service and for the fleet: within a window only a small share of the members may be suspected or evicted, and
 * never may more than half be evicted on suspicion alone. Members that leave, and deaths that the platform's list confirms, do not count.
 */
internal class EvictionGuard(
    private val settings: MembershipSettings,
) {
    /** Returns whether the death of [candidate] must wait. [self] counts as a live member. */
    fun holds(
        candidate: MemberRecord,
        table: MemberTable,
        self: SelfMember,
        now: Moment,
    ): Boolean {
        if (!candidate.countsForGuard) return false
        val fleet = table.all.filter { it.countsForGuard }
        val service = fleet.filter { it.place.service == candidate.place.service }
        val selfInService = if (self.place.service == candidate.place.service) 1 else 0
        return exceeds(service, selfInService, settings.serviceEvictionShare, LEAST_SERVICE_EVICTIONS, candidate, now) ||
            exceeds(fleet, 1, settings.fleetEvictionShare, LEAST_FLEET_EVICTIONS, candidate, now)
    }

    private fun exceeds(
        group: List<MemberRecord>,
        liveBesides: Int,
        share: Double,
        least: Int,
        candidate: MemberRecord,
        now: Moment,
    ): Boolean {
        val total = group.size + liveBesides
        val inTrouble = 1 + group.count { it !== candidate && isInTrouble(it, now) }
        val evicted = 1 + group.count { it !== candidate && it.state == MemberState.DEAD }
        return inTrouble > maxOf(least, (total * share).toInt()) || evicted * 2 > total
    }

    private fun isInTrouble(
        record: MemberRecord,
        now: Moment,
    ): Boolean =
        when (record.state) {
            MemberState.LIVE, MemberState.LEAVING -> false
            MemberState.SUSPECTED -> true
            MemberState.DEAD -> now - record.stateSince < settings.evictionWindow
        }

    private companion object {
        const val LEAST_SERVICE_EVICTIONS = 1
        const val LEAST_FLEET_EVICTIONS = 2
    }
}
