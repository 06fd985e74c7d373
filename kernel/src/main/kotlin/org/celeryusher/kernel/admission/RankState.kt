package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The queue of one rank, and a token bucket that enforces its guaranteed share.
 *
 * The balance of the bucket is in slot-nanoseconds: it is filled at the rank's share of the concurrency limit, and the service time of the
 * rank's calls is debited from it. A rank with a positive balance is owed service. The size of the bucket is what the share earns in
 * [burstTime] plus one call. Service on borrowed slots, those outside the guaranteed share, creates no more debt than the share earns in
 * [maximumDebtTime] plus the expected service time of the calls that are debited when they start: one for each guaranteed slot, and one
 * more. A rank that has used borrowed slots therefore soon regains its share.
 */
internal class RankState<Key : Any>(
    var policy: RankPolicy,
    var position: Int,
    pace: ServerPace = ServerPace(),
) {
    val queue = CallQueue<Key>()
    val serviceTime = ServiceTimeEstimate(pace)

    /** The moving average of the number of slots that the rank uses. */
    var occupancy = 0.0
        private set
    var running = 0
        private set
    private var balance = 0.0

    /** The recent requests of callers, for the floor that calls of running requests leave to them. */
    val requests = StartedShare()

    /** Whether the rank has received less service than its guaranteed share. */
    val isOwedService: Boolean get() = balance > 0.0

    /** Returns the number of slots that the rank is guaranteed out of [capacity]. */
    fun guaranteedSlots(capacity: Int): Double = policy.guaranteedShare * capacity

    /** Returns by how much the balance is below 0, in slot-nanoseconds. */
    fun debt(): Double = (-balance).coerceAtLeast(0.0)

    /** Fills the bucket for the time [elapsed] since the last event, under a concurrency limit of [capacity]. */
    fun advance(
        elapsed: Duration,
        capacity: Int,
        now: Moment,
    ) {
        val nanoseconds = elapsed.inWholeNanoseconds.toDouble()
        val bucketSize = guaranteedSlots(capacity) * burstTime.inWholeNanoseconds + serviceTime.expected(now)
        val earned = balance + guaranteedSlots(capacity) * nanoseconds
        balance = if (policy.guaranteedShare > 0.0) minOf(earned, maxOf(bucketSize, balance)) else minOf(balance, 0.0)
        occupancy += (running - occupancy) * (nanoseconds / (nanoseconds + occupancyTimeConstant.inWholeNanoseconds))
    }

    /** Debits the expected service time of [call] from the balance. */
    fun start(
        call: AdmissionCall<Key>,
        borrowed: Boolean,
        capacity: Int,
        now: Moment,
    ) {
        running += 1
        call.startedAt = now
        call.borrowed = borrowed
        debit(call, serviceTime.expected(now), minimumBalance(capacity, now))
    }

    /** Replaces the debited expected service time of [call] by the measured [duration]. */
    fun finish(
        call: AdmissionCall<Key>,
        duration: Duration,
        capacity: Int,
        now: Moment,
    ) {
        running -= 1
        balance += call.charge
        debit(call, duration.inWholeNanoseconds.toDouble(), minimumBalance(capacity, now))
    }

    private fun debit(
        call: AdmissionCall<Key>,
        cost: Double,
        minimum: Double,
    ) {
        val before = balance
        balance = if (call.borrowed) maxOf(before - cost, minOf(before, minimum)) else before - cost
        call.charge = before - balance
    }

    private fun minimumBalance(
        capacity: Int,
        now: Moment,
    ): Double {
        val prepaidCalls = guaranteedSlots(capacity) + 1
        return -guaranteedSlots(capacity) * maximumDebtTime.inWholeNanoseconds - prepaidCalls * serviceTime.expected(now)
    }

    private companion object {
        val burstTime = 500.milliseconds
        val maximumDebtTime = 500.milliseconds
        val occupancyTimeConstant = 500.milliseconds
    }
}
