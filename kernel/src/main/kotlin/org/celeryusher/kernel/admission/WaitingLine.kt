package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import java.util.TreeSet

/** One call that the controller knows: it waits in a line, or runs. */
internal class AdmissionCall<Key : Any>(
    val request: AdmissionRequest<Key>,
    var rank: RankState<Key>,
    val arrivedAt: Moment,
    val sequence: Long,
) {
    var startedAt: Moment? = null
    var charge = 0.0
    var spareCharge = 0.0
    var borrowed = false

    /** Returns the last moment at which a start can still meet the deadline, going by the shorter service times of the rank. */
    fun latestStart(now: Moment): Moment = request.deadline - rank.serviceTime.optimistic(now).toDurationNanoseconds()
}

/** Calls that wait, the earliest arrival first, with an index by deadline. */
internal class WaitingLine<Key : Any> {
    private val byArrival = TreeSet<AdmissionCall<Key>>(compareBy { it.sequence })
    private val byDeadline =
        TreeSet<AdmissionCall<Key>> { left, right ->
            val order = left.request.deadline.compareTo(right.request.deadline)
            if (order != 0) order else left.sequence.compareTo(right.sequence)
        }

    val size: Int get() = byArrival.size

    fun add(call: AdmissionCall<Key>) {
        byArrival.add(call)
        byDeadline.add(call)
    }

    fun remove(call: AdmissionCall<Key>) {
        byArrival.remove(call)
        byDeadline.remove(call)
    }

    fun firstArrival(): AdmissionCall<Key>? = if (byArrival.isEmpty()) null else byArrival.first()

    fun lastArrival(): AdmissionCall<Key>? = if (byArrival.isEmpty()) null else byArrival.last()

    fun firstDeadline(): AdmissionCall<Key>? = if (byDeadline.isEmpty()) null else byDeadline.first()
}
