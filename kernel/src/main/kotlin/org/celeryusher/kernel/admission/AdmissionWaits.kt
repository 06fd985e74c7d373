package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** The estimated waits at one backend server, and the times at which its queued calls next need a decision. */
internal class AdmissionWaits<Key : Any>(
    private val ranks: RankStates<Key>,
    private val exclusive: ExclusiveCalls<Key>,
    private val rate: StartRate,
    private val limit: ConcurrencyLimit,
) {
    /** Returns the expected wait of a call of [rank] that arrives now, under a concurrency limit of [capacity]. */
    fun expectedWait(
        rank: RankState<Key>,
        isLate: Boolean,
        capacity: Int,
        now: Moment,
        origin: CallOrigin = CallOrigin.NEW,
    ): Duration {
        val forSlot = ranks.expectedWait(rank, isLate, capacity, now, origin).toDurationNanoseconds()
        return maxOf(forSlot, rate.permittedAt(ranks.callsBefore(rank, isLate, origin) + 1, now) - now)
    }

    /** Returns the expected wait of an exclusive call of [rank] that arrives now. */
    fun expectedExclusiveWait(
        rank: RankState<Key>,
        now: Moment,
    ): Duration = rank.serviceTime.expected(now).toDurationNanoseconds() * (exclusive.queue.size + 1)

    /** Returns the load of [rank] for a load report; a call waits only unless [isSlotFree]. */
    fun rankLoad(
        rank: RankState<Key>,
        isSlotFree: Boolean,
        capacity: Int,
        now: Moment,
    ): RankLoad {
        val wait = if (isSlotFree) Duration.ZERO else expectedWait(rank, isLate = false, capacity, now)
        val service = rank.serviceTime.expected(now).toDurationNanoseconds()
        return RankLoad(wait.inWholeMilliseconds, ranks.hasCapacityFor(rank, isLate = false, now), service.inWholeMilliseconds)
    }

    /** Returns when a queued call may start or expires without any other event, or null when none is queued. */
    fun nextDecision(
        policy: AdmissionPolicy,
        isSlotFree: Boolean,
        now: Moment,
    ): Moment? {
        val dueTimes =
            ranks.all.flatMap { rank -> rank.queue.expiryCandidates().map { it.latestStart(now) } } +
                exclusive.dueTimes() +
                listOfNotNull(
                    nextSlowStartStep(policy, now).takeIf { ranks.queued > 0 },
                    limit.nextRise(now).takeIf { ranks.queued > 0 },
                    nextPermit(isSlotFree, now).takeIf { ranks.queued + exclusive.queue.size > 0 },
                )
        return dueTimes.minOrNull()?.let { maxOf(it, now) }
    }

    private fun nextPermit(
        isSlotFree: Boolean,
        now: Moment,
    ): Moment? = rate.permittedAt(1, now).takeIf { it > now && isSlotFree }

    private fun nextSlowStartStep(
        policy: AdmissionPolicy,
        now: Moment,
    ): Moment? = if (now >= limit.slowStartEndsAt()) null else now + (policy.slowStart.inWholeNanoseconds / policy.slots).nanoseconds
}
