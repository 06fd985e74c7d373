package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.time.Moment

/**
 * This node's copy of the evacuations that operators request in the platform's store.
 *
 * Changes come from watches, from complete reads and listings that are not consistent snapshots, and from the sets of other nodes; any of them
 * may arrive late, repeatedly or not at all. A watch can omit an event, so only a listing shows what is not evacuated: an evacuation that was
 * written at or below [listedTo] and is not known here has been withdrawn. Above it, the change of a data centre at the latest position
 * holds, and a withdrawal that a watch returned stays on record. A read that fails is not an event, and nothing expires: only a deletion that
 * was read, or a listing without the evacuation, withdraws it.
 *
 * Where the store has lost changes and is in a new era, a listing proves less while [lostWrites] are pending: an evacuation of an earlier era
 * that it lacks is held, and a request that it has again although its withdrawal was known is ignored. Not thread-safe.
 */
public class EvacuationDirectory(
    private val lostWrites: LostWrites = LostWrites(LostWrites.OPERATOR_BOUND),
) {
    private class State(
        val isEvacuated: Boolean,
        val position: StorePosition,
        val since: Moment,
    )

    private val states = HashMap<DataCentreName, State>()
    private val history = RequestHistory()

    /** The latest position of the store from which an answer is known. Watches may have omitted changes below it. */
    public var position: StorePosition = StorePosition.START
        private set

    /** The position at which the latest listing began whose outcome this directory includes, read here or by another node. */
    public var listedTo: StorePosition = StorePosition.START
        private set

    /** When this node learned of the latest listing, or [Moment.DISTANT_PAST] before the first one. */
    public var listedAt: Moment = Moment.DISTANT_PAST
        private set

    /** The number of the latest change, which rises with each one; 0 before the first complete state is known. */
    public var changedAt: Long = 0
        private set

    /** Whether a complete state is known. Until then this node must not send anything. */
    public var isKnown: Boolean = false
        private set

    /** How many answers of the store in succession were before this directory's position in the same era, as of a store replaced by an older one. */
    public var answersBelow: Int = 0
        private set

    /** The evacuated data centres, each with the time since which this node knows of its evacuation. */
    public val evacuatedSince: Map<DataCentreName, Moment>
        get() = states.filterValues { it.isEvacuated }.mapValues { it.value.since }

    /** Returns the evacuations that are in force at [now] only because they may be written again after the store has lost them. */
    public fun held(now: Moment): Set<DataCentreName> = states.filterValues { it.isEvacuated && isHeld(it, listedTo, now) }.keys.toSet()

    /** Returns all evacuations for another node, or null before a complete state is known. */
    public fun snapshot(): EvacuationSet? =
        if (isKnown) {
            EvacuationSet(
                position.revision,
                changedAt,
                recorded(isEvacuated = true),
                listedTo.revision,
                recorded(isEvacuated = false),
                position.era,
                listedTo.era,
                history.doubtful,
            )
        } else {
            null
        }

    /** Applies [changes], which a watch returned that covers everything up to [reached]. */
    public fun applyWatched(
        changes: Collection<EvacuationChange>,
        reached: StorePosition,
        now: Moment,
    ) {
        enter(reached, now)
        countAnswer(reached)
        changes.sortedBy { it.position }.forEach { apply(it, now) }
        advanceTo(reached, listed = StorePosition.START, now)
    }

    /**
     * Applies a complete read that began at [start] and found [requested]: other evacuations up to that position were withdrawn, unless
     * the read does not list all, that is [listsAll] is false.
     */
    public fun applyComplete(
        requested: Collection<EvacuationChange.Requested>,
        start: StorePosition,
        now: Moment,
        listsAll: Boolean = true,
    ) {
        countAnswer(start)
        applyListing(requested, start, now, listsAll)
        if (!isKnown) changedAt = maxOf(changedAt, start.revision)
        isKnown = true
    }

    /**
     * Applies a listing beside the watch, which began at [start] and found [requested]. It counts even if watches have reached later
     * positions since it was sent, because they may have omitted an event before that. Returns whether it changed anything.
     */
    public fun applyListing(
        requested: Collection<EvacuationChange.Requested>,
        start: StorePosition,
        now: Moment,
        listsAll: Boolean = true,
    ): Boolean {
        val changedBefore = changedAt
        // What the store lists at the position of the latest listing cannot have been withdrawn before it.
        val isLater = start >= listedTo
        enter(start, now)
        history.listed(start)
        if (listsAll) withdrawAbsent(requested.mapTo(HashSet()) { it.dataCentre }, start, now)
        requested.forEach { apply(it, now, isLater) }
        if (listsAll && isLater) listedAt = now
        advanceTo(start, if (listsAll) start else StorePosition.START, now)
        return changedAt != changedBefore
    }

    /** Applies the [set] of another node. It withdraws what the latest listing that it includes did not find, and what a watch returned as withdrawn. */
    public fun applyRelayed(
        set: EvacuationSet,
        now: Moment,
    ) {
        val changedBefore = changedAt
        val requested = set.evacuations.map { EvacuationChange.Requested(it.dataCentre, it.revision, it.era) }
        val listed = set.listed
        val isLater = listed != null && listed > listedTo
        enter(set.position, now)
        if (listed != null) history.listed(listed)
        val present = (set.evacuations + set.doubtful).mapTo(HashSet()) { it.dataCentre }
        if (listed != null) withdrawAbsent(present, listed, now) else withdrawUnlisted(present, set.position, now)
        // What the other node holds has not been found by its listing.
        requested.forEach { apply(it, now, isLater && it.era == set.listedEra) }
        set.withdrawn.forEach { apply(EvacuationChange.Withdrawn(it.dataCentre, it.revision, it.era), now) }
        isKnown = true
        if (isLater) listedAt = now
        advanceTo(set.position, listed ?: StorePosition.START, now)
        // The number of the other node where possible, so that its next change is later than what this node states in its queries.
        val isRaised = changedAt > changedBefore
        changedAt = if (isRaised) maxOf(changedBefore + 1, set.changedAt) else maxOf(changedBefore, set.changedAt)
    }

    // A directory that knows nothing yet may take over from others what they hold.
    private fun enter(
        reached: StorePosition,
        now: Moment,
    ) {
        if (reached.era > position.era || position == StorePosition.START) lostWrites.begin(now)
        position = maxOf(position, StorePosition(reached.era, 0))
    }

    private fun countAnswer(reached: StorePosition) {
        answersBelow = if (reached.era == position.era && reached < position) answersBelow + 1 else 0
    }

    // An older listing lacks the evacuations that this directory knows from a later one.
    private fun withdrawAbsent(
        present: Set<DataCentreName>,
        start: StorePosition,
        now: Moment,
    ) {
        if (start >= listedTo) forgetAbsent(present, start, now)
    }

    // A node of an earlier version does not state what it has listed. Its set ends evacuations only if it has read later than this node.
    private fun withdrawUnlisted(
        present: Set<DataCentreName>,
        reached: StorePosition,
        now: Moment,
    ) {
        if (reached > position) forgetAbsent(present, reached, now)
    }

    private fun forgetAbsent(
        present: Set<DataCentreName>,
        reached: StorePosition,
        now: Moment,
    ) {
        val absent =
            states.filter { (name, state) ->
                name !in present && state.isEvacuated && state.position <= reached && !isHeld(state, reached, now)
            }
        states -= absent.keys
        history.retainOnly(present)
        absent.forEach { (name, state) -> history.withdrawn(name, state.position) }
        if (absent.isNotEmpty()) raiseChangedAt(reached.revision)
    }

    private fun isHeld(
        state: State,
        listed: StorePosition,
        now: Moment,
    ): Boolean = state.position.era < listed.era && lostWrites.arePending(now)

    // A request at or below the latest listing has been withdrawn if it is not known, unless a later listing has found it.
    private fun apply(
        change: EvacuationChange,
        now: Moment,
        isListedLater: Boolean = false,
    ) {
        val known = states[change.dataCentre]
        if (known != null && known.position >= change.position) return
        when (change) {
            is EvacuationChange.Requested -> {
                if (change.position <= listedTo && !isListedLater && !isHeldElsewhere(change, now)) return
                if (known?.isEvacuated != true && history.isRepeated(change) && lostWrites.arePending(now)) return history.doubted(change)
                // A repeated request confirms the evacuation, which has been in force since the first one.
                val since = known?.takeIf { it.isEvacuated }?.since ?: now
                states[change.dataCentre] = State(true, change.position, since)
                history.requested(change)
                raiseChangedAt(change.revision)
            }

            is EvacuationChange.Withdrawn -> {
                // Below the latest listing, the record of an evacuation that is not known would have no effect.
                if (known == null && change.position <= listedTo) return
                states[change.dataCentre] = State(false, change.position, now)
                history.withdrawn(change.dataCentre, known?.takeIf { it.isEvacuated }?.position)
                raiseChangedAt(change.revision)
            }
        }
    }

    /** Returns whether another node holds [change], of which this node does not know, since it may be written again. */
    private fun isHeldElsewhere(
        change: EvacuationChange.Requested,
        now: Moment,
    ): Boolean = change.era < listedTo.era && !history.hasEnded(change) && lostWrites.arePending(now)

    // A recovered change can be older than the latest one; held queries of other nodes are answered only for a higher number.
    private fun raiseChangedAt(changeRevision: Long) {
        changedAt = maxOf(changedAt + 1, changeRevision)
    }

    private fun advanceTo(
        reached: StorePosition,
        listed: StorePosition,
        now: Moment,
    ) {
        position = maxOf(position, reached)
        listedTo = maxOf(listedTo, listed)
        // The listing excludes what a withdrawal at or below it would exclude, except for what a node holds.
        if (!lostWrites.arePending(now)) states.values.removeIf { !it.isEvacuated && it.position <= listedTo }
    }

    private fun recorded(isEvacuated: Boolean): List<Evacuation> =
        states
            .filterValues { it.isEvacuated == isEvacuated }
            .map { (name, state) -> Evacuation(name, state.position.revision, state.position.era) }
            .sortedBy { it.dataCentre.value }
}
