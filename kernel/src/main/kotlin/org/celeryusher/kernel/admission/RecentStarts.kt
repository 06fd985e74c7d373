package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment

/** The times of the latest [capacity] starts of calls, which tell when one more start keeps any one window at no more than that many. */
internal class RecentStarts(
    val capacity: Int,
) {
    private val times = LongArray(capacity) { Moment.DISTANT_PAST.nanoseconds }
    private var next = 0

    fun record(now: Moment) {
        times[next] = now.nanoseconds
        next = (next + 1) % capacity
    }

    /** Returns the time of the start [count] starts ago, 1 for the latest one. A [count] beyond the capacity stands for the earliest known. */
    fun startBefore(count: Int): Moment = Moment(times[Math.floorMod(next - count.coerceIn(1, capacity), capacity)])

    /** Returns a record of the same starts that holds [changed] of them. */
    fun resized(changed: Int): RecentStarts {
        val result = RecentStarts(changed)
        for (count in minOf(capacity, changed) downTo 1) result.record(startBefore(count))
        return result
    }
}
