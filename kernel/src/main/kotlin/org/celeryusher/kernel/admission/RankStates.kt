package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** The ranks of one backend server, the most urgent first, with their queue places and expected waits. */
internal class RankStates<Key : Any>(
    policy: AdmissionPolicy,
) {
    private var states: List<RankState<Key>> = policy.ranks.mapIndexed { position, rank -> RankState(rank, position) }
    private var sharedPlaces = policy.sharedQueuePlaces

    val all: List<RankState<Key>> get() = states

    /** How many calls wait, over all ranks. */
    val queued: Int get() = states.sumOf { it.line.size }

    /** Returns the rank at [position], the last one for a position beyond it. */
    fun at(position: Int): RankState<Key> = states[position.coerceIn(states.indices)]

    fun advance(
        elapsed: Duration,
        capacity: Int,
        now: Moment,
    ) {
        for (state in states) state.advance(elapsed, capacity, now)
    }

    /** Returns the rank whose first call starts next and why, or null when no call waits. */
    fun next(): Pair<RankState<Key>, StartReason>? {
        val owed = states.firstOrNull { it.line.size > 0 && it.isOwedService }
        if (owed != null) return owed to StartReason.GUARANTEED_SHARE
        val urgent = states.firstOrNull { it.line.size > 0 } ?: return null
        return urgent to StartReason.URGENCY
    }

    /** Returns whether a call of [rank] can be queued without displacing another. */
    fun hasPlaceFor(rank: RankState<Key>): Boolean =
        rank.line.size < rank.policy.reservedQueuePlaces || states.sumOf { it.sharedPlacesTaken() } < sharedPlaces

    /** Returns the call that gives up its shared place to a call of [rank]: the latest of the least urgent rank that holds one, or null. */
    fun displacedBy(rank: RankState<Key>): AdmissionCall<Key>? =
        states
            .lastOrNull { it.position > rank.position && it.sharedPlacesTaken() > 0 }
            ?.line
            ?.lastArrival()

    /** Returns a call that waits beyond the places that a changed policy allows, or null. */
    fun surplus(): AdmissionCall<Key>? =
        if (states.sumOf { it.sharedPlacesTaken() } <= sharedPlaces) {
            null
        } else {
            states
                .last { it.sharedPlacesTaken() > 0 }
                .line
                .lastArrival()
        }

    /**
     * Returns how many nanoseconds a call of [rank] that arrives now is expected to wait behind those already queued.
     *
     * It is the shorter of two ways: behind all more urgent calls, on the slots that the other ranks leave; or on the slots that the rank
     * is guaranteed, once its debt is worked off.
     */
    fun expectedWait(
        rank: RankState<Key>,
        capacity: Int,
        now: Moment,
    ): Double {
        val ownWork = (rank.line.size + 1) * rank.serviceTime.expected(now)
        var urgentWork = 0.0
        var claimed = 0.0
        for (other in states) {
            if (other.position < rank.position) {
                urgentWork += other.line.size * other.serviceTime.expected(now)
                claimed += other.occupancy
            } else if (other.position > rank.position) {
                claimed += minOf(other.occupancy, other.guaranteedSlots(capacity))
            }
        }
        val byUrgency = (urgentWork + ownWork) / (capacity - claimed).coerceAtLeast(SMALLEST_CAPACITY)
        val guaranteed = rank.guaranteedSlots(capacity)
        return if (guaranteed > 0.0) minOf(byUrgency, (rank.debt() + ownWork) / guaranteed) else byUrgency
    }

    /** Takes [policy] over; calls of a rank that it no longer has move to the least urgent rank. */
    fun changePolicy(policy: AdmissionPolicy) {
        val before = states.associateBy { it.policy.name }
        val kept = policy.ranks.map { it.name }.toSet()
        states =
            policy.ranks.mapIndexed { position, rank ->
                val state = before[rank.name] ?: RankState(rank, position)
                state.policy = rank
                state.position = position
                state
            }
        sharedPlaces = policy.sharedQueuePlaces
        before.values.filter { it.policy.name !in kept }.forEach { moveQueue(it, states.last()) }
    }

    private fun moveQueue(
        from: RankState<Key>,
        to: RankState<Key>,
    ) {
        while (true) {
            val call = from.line.firstArrival() ?: return
            from.line.remove(call)
            call.rank = to
            to.line.add(call)
        }
    }

    private companion object {
        const val SMALLEST_CAPACITY = 0.01
    }
}
