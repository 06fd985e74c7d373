package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import java.util.TreeSet

/** A call that is queued or running. */
internal class AdmissionCall<Key : Any>(
    val request: AdmissionRequest<Key>,
    var rank: RankState<Key>,
    val arrivedAt: Moment,
    val sequence: Long,
) {
    /** Whether the call is late: it could not meet its target even if it started on arrival. */
    val isLate: Boolean =
        request.target < request.deadline && arrivedAt + rank.serviceTime.expected(arrivedAt).toDurationNanoseconds() > request.target

    /** The time by which the call must end: its deadline if it is late, otherwise the earlier of its target and deadline. */
    val effectiveDeadline: Moment = if (isLate) request.deadline else minOf(request.target, request.deadline)

    val isOfRun: Boolean get() = request.origin == CallOrigin.RUN

    var startedAt: Moment? = null

    /** The slowdown of the server when the call started. */
    var slowdown = 1.0

    /** The slot-nanoseconds that the call has cost the balance of its rank. */
    var charge = 0.0

    /** The slot-nanoseconds that the call has cost the spare balance of all ranks. */
    var spareCharge = 0.0

    /** Whether the call started on slots outside the guaranteed share of its rank. */
    var borrowed = false

    /** The end of the maximum wait. For a call with a target, it leaves enough time for a retry by its caller to succeed. */
    private val waitDeadline: Moment =
        when {
            request.target >= request.deadline -> request.deadline
            isLate -> arrivedAt + (request.deadline - arrivedAt) * MAXIMUM_WAIT_SHARE_LATE
            else -> arrivedAt + (request.target - arrivedAt) * MAXIMUM_WAIT_SHARE_ON_TIME
        }

    /**
     * Returns the latest time at which the call may still start.
     *
     * Before a target, there must be enough time for most calls to finish, so that slots are not spent on answers that miss the
     * target latency. Before a deadline, there need only be enough time for some calls to finish.
     */
    fun latestStart(now: Moment): Moment {
        val needed = if (effectiveDeadline < request.deadline) rank.serviceTime.upperEstimate(now) else rank.serviceTime.lowerEstimate(now)
        return minOf(effectiveDeadline - needed.toDurationNanoseconds(), waitDeadline)
    }

    private companion object {
        /** The maximum wait of a call that is on time, as a share of the time to its target; the rest is left for a retry. */
        const val MAXIMUM_WAIT_SHARE_ON_TIME = 0.7

        /** The maximum wait of a late call, as a share of the time to its deadline: calls on time overtake it, so it may never start. */
        const val MAXIMUM_WAIT_SHARE_LATE = 0.4
    }
}

/**
 * A queue of calls, indexed by arrival and by the time by which they must end.
 *
 * Calls that can still meet their target start before late ones, so that the late retry of one caller does not make the call of another
 * caller late. Among calls on time, those of running requests start first, and returned requests before new ones.
 */
internal class CallQueue<Key : Any> {
    private val byArrival = TreeSet<AdmissionCall<Key>>(compareBy { it.sequence })
    private val onTime = CallOrigin.entries.map { byDeadline() }
    private val late = byDeadline()

    val size: Int get() = byArrival.size

    /** The number of queued calls that are not late. */
    val onTimeSize: Int get() = onTime.sumOf { it.size }

    /** The number of queued calls of running requests that are not late. */
    val runSize: Int get() = onTime[CallOrigin.RUN.ordinal].size

    fun add(call: AdmissionCall<Key>) {
        byArrival.add(call)
        deadlineIndexOf(call).add(call)
    }

    fun remove(call: AdmissionCall<Key>) {
        byArrival.remove(call)
        deadlineIndexOf(call).remove(call)
    }

    fun firstArrival(): AdmissionCall<Key>? = if (byArrival.isEmpty()) null else byArrival.first()

    fun lastArrival(): AdmissionCall<Key>? = if (byArrival.isEmpty()) null else byArrival.last()

    /** Returns the last arrival that is not a call of a running request. */
    fun lastRequest(): AdmissionCall<Key>? = byArrival.descendingIterator().asSequence().firstOrNull { !it.isOfRun }

    /** Returns the call that starts next: calls on time come before late ones, each in order of their effective deadlines. */
    fun firstToStart(): AdmissionCall<Key>? = firstOnTime() ?: firstLate()

    fun firstOnTime(): AdmissionCall<Key>? = firstRun() ?: firstRequest()

    /** Returns the call of a running request that starts next. */
    fun firstRun(): AdmissionCall<Key>? = firstOf(CallOrigin.RUN)

    /** Returns the call on time that starts next, apart from those of running requests. */
    fun firstRequest(): AdmissionCall<Key>? = firstOf(CallOrigin.RETURNED) ?: firstOf(CallOrigin.NEW)

    fun firstLate(): AdmissionCall<Key>? = if (late.isEmpty()) null else late.first()

    /** Returns the first calls of all indexes, any of which may be the next to expire. */
    fun expiryCandidates(): List<AdmissionCall<Key>> = CallOrigin.entries.mapNotNull(::firstOf) + listOfNotNull(firstLate())

    fun lastLate(): AdmissionCall<Key>? = if (late.isEmpty()) null else late.last()

    private fun firstOf(origin: CallOrigin): AdmissionCall<Key>? = onTime[origin.ordinal].let { if (it.isEmpty()) null else it.first() }

    private fun deadlineIndexOf(call: AdmissionCall<Key>): TreeSet<AdmissionCall<Key>> =
        if (call.isLate) late else onTime[call.request.origin.ordinal]

    private fun byDeadline() = TreeSet<AdmissionCall<Key>>(compareBy({ it.effectiveDeadline }, { it.sequence }))
}
