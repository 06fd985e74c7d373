package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The ranks of one backend server, the most urgent first: decides which starts next, shares out the queue, and estimates waits. */
internal class RankStates<Key : Any>(
    policy: AdmissionPolicy,
    private val pace: ServerPace = ServerPace(),
) {
    private var states: List<RankState<Key>> = policy.ranks.mapIndexed { position, rank -> RankState(rank, position, pace) }
    private var queueCapacity = policy.queueCapacity

    /** The balance, in slot-nanoseconds, of the capacity that is not guaranteed to any rank with queued calls. */
    private var spareBalance = 0.0
    private val allCalls = StartedShare()
    private val startedRuns = DecayedCount(runsTimeConstant)

    /** The part of the queue capacity that is reserved for each rank. */
    private val reservedCapacity: Int get() = queueCapacity / (2 * states.size)

    val all: List<RankState<Key>> get() = states

    /** The number of queued calls over all ranks. */
    val queued: Int get() = states.sumOf { it.queue.size }

    /** Returns the rank at [position], or the nearest one if [position] is out of range. */
    fun at(position: Int): RankState<Key> = states[position.coerceIn(states.indices)]

    fun advance(
        elapsed: Duration,
        capacity: Int,
        now: Moment,
    ) {
        var unclaimedShare = 1.0
        for (state in states) {
            state.advance(elapsed, capacity, now)
            if (state.queue.size > 0) unclaimedShare -= state.policy.guaranteedShare
        }
        if (queued == 0) return
        val earned = unclaimedShare * capacity * elapsed.inWholeNanoseconds
        spareBalance = minOf(spareBalance + earned, capacity.toDouble() * maximumSpareTime.inWholeNanoseconds)
    }

    /** Records the arrival of [call]. */
    fun arrive(
        call: AdmissionCall<Key>,
        now: Moment,
    ) {
        allCalls.recordArrival(now)
        if (!call.isOfRun) call.rank.requests.recordArrival(now)
    }

    /**
     * Returns the call that starts next and the reason, or null when no call is queued.
     *
     * Among the ranks that are owed service, the one with the earliest deadline comes first: each of them stays within its share, so an
     * order by urgency would only make the less urgent ones late. Calls of running requests come next, the most urgent first, except that
     * a rank keeps [REQUEST_FLOOR] of the mean for the requests of callers. When no rank is owed service, the most urgent one comes first, as
     * long as there is capacity that is not guaranteed to any rank with queued calls; after that, the rank that is closest to being owed
     * service. Late calls of a rank that is not owed service start only when no rank has a call that is on time.
     */
    fun next(now: Moment): Pair<AdmissionCall<Key>, StartReason>? {
        var owed: RankState<Key>? = null
        var earliest = Moment.FAR_FUTURE
        var urgent: RankState<Key>? = null
        for (state in states) {
            val first = state.queue.firstToStart() ?: continue
            if (urgent == null || (urgent.queue.onTimeSize == 0 && !first.isLate)) urgent = state
            if (state.isOwedService && (owed == null || first.effectiveDeadline < earliest)) {
                owed = state
                earliest = first.effectiveDeadline
            }
        }
        if (owed == null) nextOfRuns(now)?.let { return it }
        if (owed == null && spareBalance <= 0.0 && isContended()) owed = leastIndebted()
        val reason = if (owed == null) StartReason.URGENCY else StartReason.GUARANTEED_SHARE
        return (owed ?: urgent)?.queue?.firstToStart()?.let { it to reason }
    }

    /** Returns the call of a running request that starts next, a request of a rank below its floor, or null when there is no such call. */
    private fun nextOfRuns(now: Moment): Pair<AdmissionCall<Key>, StartReason>? {
        val run = states.firstNotNullOfOrNull { it.queue.firstRun() } ?: return null
        val starved = states.firstOrNull { it.queue.firstRequest() != null && isBelowFloor(it, now) }
        return starved?.queue?.firstRequest()?.let { it to StartReason.GUARANTEED_SHARE } ?: (run to StartReason.CALL_OF_RUN)
    }

    private fun isBelowFloor(
        rank: RankState<Key>,
        now: Moment,
    ): Boolean = startedRuns.at(now) >= MINIMUM_RUNS && rank.requests.isBelow(REQUEST_FLOOR * allCalls.at(now), now)

    /** Charges the start of [call], which is still queued or has just arrived. */
    fun start(
        call: AdmissionCall<Key>,
        reason: StartReason,
        capacity: Int,
        now: Moment,
    ) {
        allCalls.recordStart(now)
        if (call.isOfRun) startedRuns.add(1.0, now) else call.rank.requests.recordStart(now)
        if (reason == StartReason.URGENCY && isContended()) {
            call.spareCharge = call.rank.serviceTime.expected(now)
            spareBalance -= call.spareCharge
        }
        call.rank.start(call, reason != StartReason.GUARANTEED_SHARE, capacity, now)
    }

    /** Corrects the charge of [call], which has ended after [duration]. */
    fun finish(
        call: AdmissionCall<Key>,
        duration: Duration,
        capacity: Int,
        now: Moment,
    ) {
        if (call.spareCharge > 0.0) spareBalance += call.spareCharge - duration.inWholeNanoseconds
        call.rank.finish(call, duration, capacity, now)
    }

    private fun isContended(): Boolean = states.count { it.queue.size > 0 } > 1

    private fun leastIndebted(): RankState<Key>? =
        states
            .filter { it.queue.size > 0 && it.policy.guaranteedShare > 0.0 }
            .minByOrNull { it.debt() / it.policy.guaranteedShare }

    /** Returns whether a call of [rank] can be queued, if necessary by displacing another call. */
    fun hasCapacityFor(
        rank: RankState<Key>,
        isLate: Boolean,
        now: Moment,
        origin: CallOrigin = CallOrigin.NEW,
    ): Boolean = queued < queueCapacity || displacedBy(rank, isLate, now, origin) != null

    /**
     * Returns the queued call that is displaced by a new call of [rank], or null when the queue is not full or no call may be displaced.
     *
     * A call that is on time displaces a late one, the least urgent first. Without late calls, it displaces the last arrival of the longest
     * queue, measured by the time that the rank's guaranteed share takes to process it. A queue no longer than [reservedCapacity] loses no
     * call this way, and a late call displaces none. A call of a running request displaces a request of the least urgent rank that has a
     * longer queue or no guaranteed share, and is itself displaced only if its queue has no requests.
     */
    fun displacedBy(
        rank: RankState<Key>,
        isLate: Boolean,
        now: Moment,
        origin: CallOrigin = CallOrigin.NEW,
    ): AdmissionCall<Key>? {
        if (queued < queueCapacity || isLate) return null
        states.asReversed().firstNotNullOfOrNull { it.queue.lastLate() }?.let { return it }
        if (origin == CallOrigin.RUN) displacedByRun()?.let { return it }
        val longest = longest(now) ?: return null
        if (longest === rank) return null
        val yields = rank.queue.size < reservedCapacity || byLength(now).compare(longest, rank) > 0
        return if (yields) longest.queue.lastRequest() ?: longest.queue.lastArrival() else null
    }

    private fun displacedByRun(): AdmissionCall<Key>? =
        states.asReversed().firstNotNullOfOrNull { rank ->
            rank.queue.lastRequest()?.takeIf { rank.policy.guaranteedShare == 0.0 || rank.queue.size > reservedCapacity }
        }

    /** Returns a queued call in excess of the queue capacity, which a new policy may have reduced, or null when there is none. */
    fun excessCall(now: Moment): AdmissionCall<Key>? {
        if (queued <= queueCapacity) return null
        val longest = longest(now) ?: states.last { it.queue.size > 0 }
        return longest.queue.lastArrival()
    }

    private fun longest(now: Moment): RankState<Key>? = states.filter { it.queue.size > reservedCapacity }.maxWithOrNull(byLength(now))

    private fun byLength(now: Moment): Comparator<RankState<Key>> =
        compareBy({ it.queue.size * it.serviceTime.expected(now) / it.policy.guaranteedShare }, { it.queue.size }, { it.position })

    /**
     * Returns the expected wait, in nanoseconds, of a call of [rank] that arrives now.
     *
     * It is the shorter of two estimates: the wait behind all more urgent calls, on the slots that the other ranks leave free; and the wait
     * on the slots that the rank is guaranteed, once its debt is paid off. A late call waits behind all calls that are on time, while a
     * call on time does not wait behind late calls. A call of a running request waits only behind other such calls, and a rank below its
     * floor starts next.
     */
    fun expectedWait(
        rank: RankState<Key>,
        isLate: Boolean,
        capacity: Int,
        now: Moment,
        origin: CallOrigin = CallOrigin.NEW,
    ): Double {
        val serviceTime = rank.serviceTime.expected(now)
        if (origin != CallOrigin.RUN && !isLate && isBelowFloor(rank, now)) return serviceTime / capacity
        val isOfRun = origin == CallOrigin.RUN && !isLate
        val ownWork = (callsBefore(rank, rank, isLate, isOfRun) + 1) * serviceTime
        var urgentWork = 0.0
        var claimed = 0.0
        for (other in states) {
            if (other === rank) continue
            urgentWork += callsBefore(rank, other, isLate, isOfRun) * other.serviceTime.expected(now)
            claimed +=
                if (other.position < rank.position && !isOfRun) {
                    other.occupancy
                } else {
                    minOf(other.occupancy, other.guaranteedSlots(capacity))
                }
        }
        val byUrgency = (urgentWork + ownWork) / (capacity - claimed).coerceAtLeast(MINIMUM_CAPACITY)
        val guaranteed = rank.guaranteedSlots(capacity)
        return if (guaranteed > 0.0) minOf(byUrgency, (rank.debt() + ownWork) / guaranteed) else byUrgency
    }

    /** Returns the number of queued calls that start before a call of [rank] that arrives now, if the order is by urgency. */
    fun callsBefore(
        rank: RankState<Key>,
        isLate: Boolean,
        origin: CallOrigin = CallOrigin.NEW,
    ): Int = states.sumOf { callsBefore(rank, it, isLate, isOfRun = origin == CallOrigin.RUN && !isLate) }

    private fun callsBefore(
        rank: RankState<Key>,
        other: RankState<Key>,
        isLate: Boolean,
        isOfRun: Boolean,
    ): Int =
        when {
            isOfRun -> if (other.position <= rank.position) other.queue.runSize else 0
            other.position <= rank.position -> if (isLate) other.queue.size else other.queue.onTimeSize
            else -> if (isLate) other.queue.onTimeSize else other.queue.runSize
        }

    /** Applies [policy]. Queued calls of a rank that it no longer has move to the least urgent rank. */
    fun changePolicy(policy: AdmissionPolicy) {
        val before = states.associateBy { it.policy.name }
        val kept = policy.ranks.map { it.name }.toSet()
        states =
            policy.ranks.mapIndexed { position, rank ->
                val state = before[rank.name] ?: RankState(rank, position, pace)
                state.policy = rank
                state.position = position
                state
            }
        queueCapacity = policy.queueCapacity
        before.values.filter { it.policy.name !in kept }.forEach { moveQueue(it, states.last()) }
    }

    private fun moveQueue(
        from: RankState<Key>,
        to: RankState<Key>,
    ) {
        while (true) {
            val call = from.queue.firstArrival() ?: return
            from.queue.remove(call)
            call.rank = to
            to.queue.add(call)
        }
    }

    private companion object {
        const val MINIMUM_CAPACITY = 0.01
        val maximumSpareTime = 500.milliseconds

        /** Somewhat more than the quarter of the mean that each route is promised. */
        const val REQUEST_FLOOR = 0.3

        /** The floor is of use only where calls of running requests compete. */
        const val MINIMUM_RUNS = 1.0
        val runsTimeConstant = 5.seconds
    }
}
