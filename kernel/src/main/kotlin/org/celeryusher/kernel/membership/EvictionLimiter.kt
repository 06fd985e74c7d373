package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment

/**
 * Holds evictions when so many members are suspected or evicted that the fault more likely lies in the network or in this node.
 *
 * Two limits apply to each service and to the fleet: only a small share of the members may be suspected or evicted within a time window,
 * and at most half of the members may be evicted on suspicion alone. Members that leave, and deaths that the platform's list confirms,
 * do not count.
 */
internal class EvictionLimiter(
    private val settings: MembershipSettings,
) {
    /** Returns whether the eviction of [candidate] must be held. [self] counts as a live member. */
    fun mustHold(
        candidate: MemberRecord,
        table: MemberTable,
        self: SelfMember,
        now: Moment,
    ): Boolean {
        if (!candidate.countsForEvictionLimit) return false
        val fleet = table.all.filter { it.countsForEvictionLimit }
        val service = fleet.filter { it.metadata.service == candidate.metadata.service }
        val selfInService = if (self.metadata.service == candidate.metadata.service) 1 else 0
        return exceeds(service, selfInService, settings.serviceEvictionShare, MINIMUM_ALLOWED_SERVICE_EVICTIONS, candidate, now) ||
            exceeds(fleet, 1, settings.fleetEvictionShare, MINIMUM_ALLOWED_FLEET_EVICTIONS, candidate, now)
    }

    private fun exceeds(
        group: List<MemberRecord>,
        otherLiveMembers: Int,
        share: Double,
        minimumAllowed: Int,
        candidate: MemberRecord,
        now: Moment,
    ): Boolean {
        val total = group.size + otherLiveMembers
        val suspectedOrEvicted = 1 + group.count { it !== candidate && isSuspectedOrEvicted(it, now) }
        val evicted = 1 + group.count { it !== candidate && it.state == MemberState.DEAD }
        return suspectedOrEvicted > maxOf(minimumAllowed, (total * share).toInt()) || evicted * 2 > total
    }

    private fun isSuspectedOrEvicted(
        record: MemberRecord,
        now: Moment,
    ): Boolean =
        when (record.state) {
            MemberState.LIVE, MemberState.LEAVING -> false
            MemberState.SUSPECTED -> true
            MemberState.DEAD -> now - record.stateSince < settings.evictionWindow
        }

    private companion object {
        const val MINIMUM_ALLOWED_SERVICE_EVICTIONS = 1
        const val MINIMUM_ALLOWED_FLEET_EVICTIONS = 2
    }
}
