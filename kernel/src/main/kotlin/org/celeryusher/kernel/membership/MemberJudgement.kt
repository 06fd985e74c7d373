package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** Decides what state each member is in, from news, failed probes, the passing of time and the platform's list. */
internal class MemberJudgement(
    private val settings: MembershipSettings,
    private val self: SelfMember,
    private val table: MemberTable,
    private val queue: NewsQueue,
    private val health: LocalHealth,
) {
    private val guard = EvictionGuard(settings)
    private var listRevision = Long.MIN_VALUE

    /** Whether the platform's last list has this node's instance as leaving. */
    var isSelfListedAsLeaving: Boolean = false
        private set

    /** Takes in [news] about another member; news that is not newer changes nothing, except that it may confirm a suspicion. */
    fun learn(
        news: MemberNews,
        reason: MemberChangeReason,
        now: Moment,
    ) {
        if (news.start == MemberRecord.NO_START) return
        val record = table[news.instance] ?: return meet(news, reason, now)
        if (news.place != null && news.start > record.placeStart) {
            table.update(record, reason) {
                place = news.place
                placeStart = news.start
            }
        }
        when {
            news.isNewerThan(record.incarnation, record.state) -> adopt(record, news, reason, now)
            news.incarnation == record.incarnation && news.state == MemberState.SUSPECTED -> confirm(record, news.suspectedBy)
            reason == MemberChangeReason.OWN_WORD && record.state == MemberState.LEAVING -> noteAnswer(record)
        }
    }

    /** Suspects [record], whose probe failed; a leaving member keeps its state while it has the time to answer again. */
    fun suspect(
        record: MemberRecord,
        now: Moment,
    ) {
        when (record.state) {
            MemberState.LIVE -> {
                change(
                    record,
                    MemberState.SUSPECTED,
                    MemberChangeReason.PROBE_UNANSWERED,
                    now,
                ) { suspicion = Suspicion(now, self.instance) }
                queue.add(record.instance)
            }
            MemberState.SUSPECTED -> confirm(record, self.instance)
            MemberState.LEAVING -> if (record.suspicion == null) record.suspicion = Suspicion(now, self.instance)
            MemberState.DEAD -> Unit
        }
        if (record.unansweredSince == null) record.unansweredSince = now
    }

    /** Notes that [record] answered a probe, which a leaving member need not refute with a new incarnation. */
    fun noteAnswer(record: MemberRecord) {
        if (record.state != MemberState.LEAVING) return
        record.suspicion = null
        record.unansweredSince = null
    }

    /** Evicts members whose time to refute is over, unless the guard holds, and forgets members that were dead for long. */
    fun tick(now: Moment) {
        for (record in table.all.filter { it.suspicion != null }) {
            val suspicion = record.suspicion ?: continue
            if (suspicion.hasExpired(now, settings, health.multiplier)) evict(record, suspicion, now)
        }
        forgetTombstones(now)
    }

    /** Takes in the platform's list: it adds members and tells who leaves, but neither evicts a member that answers nor revives a dead one. */
    fun learnList(
        list: PlatformInstanceList,
        now: Moment,
    ) {
        if (list.revision < listRevision) return
        listRevision = list.revision
        val listed = list.instances.associateBy(PlatformInstance::instance)
        isSelfListedAsLeaving = listed[self.instance]?.state == PlatformInstanceState.LEAVING
        for (instance in list.instances) {
            if (instance.instance != self.instance) learnListed(instance, now)
        }
        for (record in table.all.filter { it.instance !in listed }) {
            if (record.isOnlyListed) table.remove(record, MemberChangeReason.PLATFORM_LIST) else unlist(record, now)
        }
    }

    /**
     * Withdraws the suspicions that only this node had and that it made at or after [pausedAt], and gives all other suspected members
     * their whole time to refute again: while this process did not run it could not hear them.
     */
    fun discountPause(
        pausedAt: Moment,
        now: Moment,
    ) {
        for (record in table.all.filter { it.suspicion != null }) {
            val suspicion = record.suspicion ?: continue
            val isOwnAlone = suspicion.suspectedBy == setOf(self.instance)
            if (record.state == MemberState.SUSPECTED && isOwnAlone && suspicion.startedAt >= pausedAt) {
                queue.remove(record.instance)
                change(record, MemberState.LIVE, MemberChangeReason.OWN_PAUSE, now) { clearSuspicion() }
            } else {
                suspicion.restart(now)
            }
        }
    }

    private fun meet(
        news: MemberNews,
        reason: MemberChangeReason,
        now: Moment,
    ) {
        val place = news.place ?: return
        if (news.state == MemberState.DEAD) return
        val record = MemberRecord(news.instance, place, news.incarnation, news.state, now)
        if (news.state == MemberState.SUSPECTED) record.suspicion = Suspicion(now, news.suspectedBy ?: news.instance)
        table.add(record, reason)
        queue.add(news.instance)
    }

    private fun adopt(
        record: MemberRecord,
        news: MemberNews,
        reason: MemberChangeReason,
        now: Moment,
    ) {
        rebindListing(record, news.incarnation)
        when (news.state) {
            MemberState.LIVE, MemberState.LEAVING ->
                change(record, news.state, reason, now, news.incarnation) { clearSuspicion() }
            MemberState.SUSPECTED ->
                change(record, news.state, reason, now, news.incarnation) {
                    suspicion = Suspicion(now, news.suspectedBy ?: news.instance)
                    unansweredSince = now
                }
            MemberState.DEAD -> adoptDeath(record, news, reason, now)
        }
        if (record.state == news.state) queue.add(record.instance, isUrgent = news.state == MemberState.LEAVING)
    }

    private fun adoptDeath(
        record: MemberRecord,
        news: MemberNews,
        reason: MemberChangeReason,
        now: Moment,
    ) {
        if (record.unansweredSince == null) record.unansweredSince = now
        val isAnnounced = reason == MemberChangeReason.OWN_WORD
        if (!isAnnounced && guard.holds(record, table, self, now)) {
            holdDeath(record, news.incarnation, now)
        } else {
            bury(record, reason, now, news.incarnation, hasLeft = isAnnounced)
        }
    }

    private fun holdDeath(
        record: MemberRecord,
        incarnation: Incarnation,
        now: Moment,
    ) {
        if (record.state == MemberState.SUSPECTED && record.incarnation == incarnation) {
            record.suspicion?.expire()
            return
        }
        change(record, MemberState.SUSPECTED, MemberChangeReason.EVICTION_HELD, now, incarnation) {
            suspicion = Suspicion(now, instance).apply { expire() }
        }
    }

    private fun evict(
        record: MemberRecord,
        suspicion: Suspicion,
        now: Moment,
    ) {
        if (!guard.holds(record, table, self, now)) {
            bury(record, MemberChangeReason.SUSPICION_EXPIRED, now)
            queue.add(record.instance)
        } else if (!suspicion.isHeldNoted) {
            suspicion.isHeldNoted = true
            table.noteHeld(record)
        }
    }

    private fun bury(
        record: MemberRecord,
        reason: MemberChangeReason,
        now: Moment,
        incarnation: Incarnation = record.incarnation,
        hasLeft: Boolean = false,
    ) {
        val wasLeaving = record.visibleState == MemberState.LEAVING
        change(record, MemberState.DEAD, reason, now, incarnation) {
            suspicion = null
            diedWhileLeaving = wasLeaving || hasLeft
        }
    }

    private fun change(
        record: MemberRecord,
        state: MemberState,
        reason: MemberChangeReason,
        now: Moment,
        incarnation: Incarnation = record.incarnation,
        alter: MemberRecord.() -> Unit,
    ) {
        table.update(record, reason) {
            this.state = state
            this.incarnation = incarnation
            stateSince = now
            alter()
        }
    }

    private fun MemberRecord.clearSuspicion() {
        suspicion = null
        unansweredSince = null
        diedWhileLeaving = false
    }

    private fun confirm(
        record: MemberRecord,
        suspecter: InstanceName?,
    ) {
        if (suspecter == null) return
        if (record.suspicion?.confirm(suspecter, settings) == true) queue.add(record.instance)
    }

    private fun learnListed(
        listed: PlatformInstance,
        now: Moment,
    ) {
        val known = table[listed.instance]
        val record =
            known ?: MemberRecord(listed.instance, listed.place, Incarnation(MemberRecord.NO_START), MemberState.LIVE, now)
        if (known == null) table.add(record, MemberChangeReason.PLATFORM_LIST)
        table.update(record, MemberChangeReason.PLATFORM_LIST) {
            if (isOnlyListed) place = listed.place
            listing =
                when (listed.state) {
                    PlatformInstanceState.LIVE -> PlatformListing.Live
                    PlatformInstanceState.LEAVING -> listing as? PlatformListing.Leaving ?: PlatformListing.Leaving(incarnation.start)
                }
        }
    }

    private fun unlist(
        record: MemberRecord,
        now: Moment,
    ) {
        table.update(record, MemberChangeReason.PLATFORM_LIST) { listing = PlatformListing.Unlisted(now) }
    }

    private fun rebindListing(
        record: MemberRecord,
        incarnation: Incarnation,
    ) {
        val isUnbound = record.listing == PlatformListing.Leaving(MemberRecord.NO_START)
        if (isUnbound) record.listing = PlatformListing.Leaving(incarnation.start)
    }

    private fun forgetTombstones(now: Moment) {
        val tombstones = table.all.filter { it.state == MemberState.DEAD && !it.isListed }
        val surplus = tombstones.size - maxOf(LEAST_TOMBSTONES, table.fleetSize)
        val oldest = if (surplus > 0) tombstones.sortedBy { it.stateSince }.take(surplus).toSet() else emptySet()
        for (record in tombstones) {
            if (record in oldest || now - record.stateSince > settings.tombstoneLifetime) {
                table.remove(record, MemberChangeReason.TOMBSTONE_EXPIRED)
            }
        }
    }

    private companion object {
        const val LEAST_TOMBSTONES = 64
    }
}
