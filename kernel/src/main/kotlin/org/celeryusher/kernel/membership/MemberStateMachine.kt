package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** Determines the state of each member from updates, failed probes, the passage of time and the platform's list. */
internal class MemberStateMachine(
    private val settings: MembershipSettings,
    private val self: SelfMember,
    private val table: MemberTable,
    private val queue: UpdateQueue,
    private val health: LocalHealth,
) {
    private val evictionLimiter = EvictionLimiter(settings)
    private var listRevision = Long.MIN_VALUE

    /** Whether the platform's last list shows this node's instance as leaving. */
    var isSelfListedAsLeaving: Boolean = false
        private set

    /** Applies [update] about another member; an update that is not newer is ignored, except that it may confirm a suspicion. */
    fun apply(
        update: MemberUpdate,
        reason: MemberChangeReason,
        now: Moment,
    ) {
        if (update.start == MemberRecord.NO_START) return
        val record = table[update.instance] ?: return addMember(update, reason, now)
        if (update.metadata != null && update.start > record.metadataStart) {
            table.modify(record, reason) {
                metadata = update.metadata
                metadataStart = update.start
            }
        }
        when {
            update.isNewerThan(record.incarnation, record.state) -> applyNewer(record, update, reason, now)
            update.incarnation == record.incarnation && update.state == MemberState.SUSPECTED -> confirm(record, update.suspectedBy)
            reason == MemberChangeReason.OWN_WORD && record.state == MemberState.LEAVING -> recordAnswer(record)
        }
    }

    /** Suspects [record], whose probe failed; a leaving member keeps its state until its suspicion timeout ends. */
    fun suspect(
        record: MemberRecord,
        now: Moment,
    ) {
        when (record.state) {
            MemberState.LIVE -> {
                changeState(
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

    /** Records an answer of [record], which ends the suspicion of a leaving member even without a new incarnation. */
    fun recordAnswer(record: MemberRecord) {
        if (record.state != MemberState.LEAVING) return
        record.suspicion = null
        record.unansweredSince = null
    }

    /** Evicts the members whose suspicion timeout has passed, unless [EvictionLimiter] holds the eviction, and removes old tombstones. */
    fun tick(now: Moment) {
        for (record in table.all.filter { it.suspicion != null }) {
            val suspicion = record.suspicion ?: continue
            if (suspicion.hasExpired(now, settings, health.multiplier)) evict(record, suspicion, now)
        }
        removeTombstones(now)
    }

    /**
     * Applies the platform's list, which adds members and marks leaving ones.
     *
     * The list neither evicts a member that answers nor revives a dead one.
     */
    fun applyList(
        list: PlatformInstanceList,
        now: Moment,
    ) {
        if (list.revision < listRevision) return
        listRevision = list.revision
        val listed = list.instances.associateBy(PlatformInstance::instance)
        isSelfListedAsLeaving = listed[self.instance]?.state == PlatformInstanceState.LEAVING
        for (instance in list.instances) {
            if (instance.instance != self.instance) applyListed(instance, now)
        }
        for (record in table.all.filter { it.instance !in listed }) {
            if (record.isOnlyListed) table.remove(record, MemberChangeReason.PLATFORM_LIST) else markUnlisted(record, now)
        }
    }

    /**
     * Withdraws the suspicions that only this node had and that it made at or after [pausedAt], and restarts the suspicion timeout of all
     * other suspected members: while this process was paused, it could not receive their refutations.
     */
    fun compensateForPause(
        pausedAt: Moment,
        now: Moment,
    ) {
        for (record in table.all.filter { it.suspicion != null }) {
            val suspicion = record.suspicion ?: continue
            val isOnlyOwn = suspicion.suspectedBy == setOf(self.instance)
            if (record.state == MemberState.SUSPECTED && isOnlyOwn && suspicion.startedAt >= pausedAt) {
                queue.remove(record.instance)
                changeState(record, MemberState.LIVE, MemberChangeReason.OWN_PAUSE, now) { clearSuspicion() }
            } else {
                suspicion.restart(now)
            }
        }
    }

    private fun addMember(
        update: MemberUpdate,
        reason: MemberChangeReason,
        now: Moment,
    ) {
        val metadata = update.metadata ?: return
        if (update.state == MemberState.DEAD) return
        val record = MemberRecord(update.instance, metadata, update.incarnation, update.state, now)
        if (update.state == MemberState.SUSPECTED) record.suspicion = Suspicion(now, update.suspectedBy ?: update.instance)
        table.add(record, reason)
        queue.add(update.instance)
    }

    private fun applyNewer(
        record: MemberRecord,
        update: MemberUpdate,
        reason: MemberChangeReason,
        now: Moment,
    ) {
        bindListing(record, update.incarnation)
        when (update.state) {
            MemberState.LIVE, MemberState.LEAVING ->
                changeState(record, update.state, reason, now, update.incarnation) { clearSuspicion() }
            MemberState.SUSPECTED ->
                changeState(record, update.state, reason, now, update.incarnation) {
                    suspicion = Suspicion(now, update.suspectedBy ?: update.instance)
                    unansweredSince = now
                }
            MemberState.DEAD -> applyDeath(record, update, reason, now)
        }
        if (record.state == update.state) queue.add(record.instance, isUrgent = update.state == MemberState.LEAVING)
    }

    private fun applyDeath(
        record: MemberRecord,
        update: MemberUpdate,
        reason: MemberChangeReason,
        now: Moment,
    ) {
        if (record.unansweredSince == null) record.unansweredSince = now
        val isAnnounced = reason == MemberChangeReason.OWN_WORD
        if (!isAnnounced && evictionLimiter.mustHold(record, table, self, now)) {
            holdEviction(record, update.incarnation, now)
        } else {
            markDead(record, reason, now, update.incarnation, hasLeft = isAnnounced)
        }
    }

    private fun holdEviction(
        record: MemberRecord,
        incarnation: Incarnation,
        now: Moment,
    ) {
        if (record.state == MemberState.SUSPECTED && record.incarnation == incarnation) {
            record.suspicion?.expire()
            return
        }
        changeState(record, MemberState.SUSPECTED, MemberChangeReason.EVICTION_HELD, now, incarnation) {
            suspicion = Suspicion(now, instance).apply { expire() }
        }
    }

    private fun evict(
        record: MemberRecord,
        suspicion: Suspicion,
        now: Moment,
    ) {
        if (!evictionLimiter.mustHold(record, table, self, now)) {
            markDead(record, MemberChangeReason.SUSPICION_EXPIRED, now)
            queue.add(record.instance)
        } else if (!suspicion.isEvictionHeld) {
            suspicion.isEvictionHeld = true
            table.recordEvictionHeld(record)
        }
    }

    private fun markDead(
        record: MemberRecord,
        reason: MemberChangeReason,
        now: Moment,
        incarnation: Incarnation = record.incarnation,
        hasLeft: Boolean = false,
    ) {
        val wasLeaving = record.visibleState == MemberState.LEAVING
        changeState(record, MemberState.DEAD, reason, now, incarnation) {
            suspicion = null
            diedWhileLeaving = wasLeaving || hasLeft
        }
    }

    private fun changeState(
        record: MemberRecord,
        state: MemberState,
        reason: MemberChangeReason,
        now: Moment,
        incarnation: Incarnation = record.incarnation,
        block: MemberRecord.() -> Unit,
    ) {
        table.modify(record, reason) {
            this.state = state
            this.incarnation = incarnation
            stateSince = now
            block()
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

    private fun applyListed(
        listed: PlatformInstance,
        now: Moment,
    ) {
        val known = table[listed.instance]
        val record =
            known ?: MemberRecord(listed.instance, listed.metadata, Incarnation(MemberRecord.NO_START), MemberState.LIVE, now)
        if (known == null) table.add(record, MemberChangeReason.PLATFORM_LIST)
        table.modify(record, MemberChangeReason.PLATFORM_LIST) {
            if (isOnlyListed) metadata = listed.metadata
            listing =
                when (listed.state) {
                    PlatformInstanceState.LIVE -> PlatformListing.Live
                    PlatformInstanceState.LEAVING -> listing as? PlatformListing.Leaving ?: PlatformListing.Leaving(incarnation.start)
                }
        }
    }

    private fun markUnlisted(
        record: MemberRecord,
        now: Moment,
    ) {
        table.modify(record, MemberChangeReason.PLATFORM_LIST) { listing = PlatformListing.Unlisted(now) }
    }

    private fun bindListing(
        record: MemberRecord,
        incarnation: Incarnation,
    ) {
        val isUnbound = record.listing == PlatformListing.Leaving(MemberRecord.NO_START)
        if (isUnbound) record.listing = PlatformListing.Leaving(incarnation.start)
    }

    private fun removeTombstones(now: Moment) {
        val tombstones = table.all.filter { it.state == MemberState.DEAD && !it.isListed }
        val surplus = tombstones.size - maxOf(MINIMUM_TOMBSTONE_CAPACITY, table.fleetSize)
        val oldest = if (surplus > 0) tombstones.sortedBy { it.stateSince }.take(surplus).toSet() else emptySet()
        for (record in tombstones) {
            if (record in oldest || now - record.stateSince > settings.tombstoneLifetime) {
                table.remove(record, MemberChangeReason.TOMBSTONE_EXPIRED)
            }
        }
    }

    private companion object {
        const val MINIMUM_TOMBSTONE_CAPACITY = 64
    }
}
