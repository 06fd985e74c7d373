package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The queue of one rank and the account of its guaranteed share.
 *
 * The balance is a token bucket in slot-nanoseconds: it fills at the rank's share of the concurrency limit and pays for the service time
 * of the rank's calls. A rank with a positive balance is owed service. Savings are bounded by [savingsTime], and service on borrowed slots
 * makes no more debt than the share earns in [debtTime] plus the calls that are paid in advance, so that a rank which lived on borrowed
 * slots regains its share soon.
 */
internal class RankState<Key : Any>(
    var policy: RankPolicy,
    var position: Int,
) {
    val line = WaitingLine<Key>()
    val serviceTime = ServiceTimeEstimate()

    /** How many slots the rank has used lately, on average. */
    var occupancy = 0.0
        private set
    var running = 0
        private set
    private var balance = 0.0

    /** Whether the rank has received less than its guaranteed share. */
    val isOwedService: Boolean get() = balance > 0.0

    /** Returns the slots that the rank keeps out of [capacity]. */
    fun guaranteedSlots(capacity: Int): Double = policy.guaranteedShare * capacity

    /** Returns the debt in slot-nanoseconds, 0 when there is none. */
    fun debt(): Double = (-balance).coerceAtLeast(0.0)

    /** Accounts for the time that has [elapsed] since the last event, with [capacity] slots in use. */
    fun advance(
        elapsed: Duration,
        capacity: Int,
        now: Moment,
    ) {
        val nanoseconds = elapsed.inWholeNanoseconds.toDouble()
        val savings = guaranteedSlots(capacity) * savingsTime.inWholeNanoseconds + serviceTime.expected(now)
        val earned = balance + guaranteedSlots(capacity) * nanoseconds
        balance = if (policy.guaranteedShare > 0.0) minOf(earned, maxOf(savings, balance)) else minOf(balance, 0.0)
        occupancy += (running - occupancy) * (nanoseconds / (nanoseconds + occupancyMemory.inWholeNanoseconds))
    }

    /** Takes the expected service time of [call] from the balance. */
    fun start(
        call: AdmissionCall<Key>,
        borrowed: Boolean,
        capacity: Int,
        now: Moment,
    ) {
        running += 1
        call.startedAt = now
        call.borrowed = borrowed
        pay(call, serviceTime.expected(now), lowestBalance(capacity, now))
    }

    /** Replaces the expected service time of [call] by the real one. */
    fun finish(
        call: AdmissionCall<Key>,
        duration: Duration,
        capacity: Int,
        now: Moment,
    ) {
        running -= 1
        balance += call.charge
        pay(call, duration.inWholeNanoseconds.toDouble(), lowestBalance(capacity, now))
    }

    private fun pay(
        call: AdmissionCall<Key>,
        cost: Double,
        lowest: Double,
    ) {
        val before = balance
        balance = if (call.borrowed) maxOf(before - cost, minOf(before, lowest)) else before - cost
        call.charge = before - balance
    }

    private fun lowestBalance(
        capacity: Int,
        now: Moment,
    ): Double {
        val callsPaidInAdvance = guaranteedSlots(capacity) + 1
        return -guaranteedSlots(capacity) * debtTime.inWholeNanoseconds - callsPaidInAdvance * serviceTime.expected(now)
    }

    private companion object {
        val savingsTime = 500.milliseconds
        val debtTime = 500.milliseconds
        val occupancyMemory = 500.milliseconds
    }
}
