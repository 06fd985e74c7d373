package org.celeryusher.kernel.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects stalls of this process, and estimates for how long a request may have waited before it was read.
 *
 * While a process is suspended or gets too little processor time, requests accumulate in its sockets and queues. If their deadlines
 * counted from when they are read, the process would forward requests that their callers have long abandoned. [recordHeartbeat] must be
 * called every [HEARTBEAT_INTERVAL]; the time between two calls in excess of this interval is the lateness of the process. Not
 * thread-safe.
 */
public class StallDetector(
    now: Moment,
) {
    private var lastHeartbeatAt = now
    private var lastLateness = Duration.ZERO

    /** Records that the process runs at [now], and returns its lateness, zero if it is within the normal variation of scheduling. */
    public fun recordHeartbeat(now: Moment): Duration {
        lastLateness = latenessSinceHeartbeat(now)
        lastHeartbeatAt = maxOf(now, lastHeartbeatAt)
        return lastLateness
    }

    /** Returns the lateness of the process at [now], zero if it is within the normal variation of scheduling. */
    public fun lateness(now: Moment): Duration = maxOf(lastLateness, latenessSinceHeartbeat(now))

    /** Returns the earliest time at which a request that is read at [now] may have arrived. */
    public fun earliestArrival(now: Moment): Moment = now - lateness(now)

    private fun latenessSinceHeartbeat(now: Moment): Duration {
        val late = now - lastHeartbeatAt - HEARTBEAT_INTERVAL
        return if (late >= MINIMUM_LATENESS) late else Duration.ZERO
    }

    public companion object {
        /** The interval at which [recordHeartbeat] must be called. At this rate, it takes well below a thousandth of a processor core. */
        public val HEARTBEAT_INTERVAL: Duration = 50.milliseconds

        /** A shorter delay is within the normal variation of scheduling, and small compared with every deadline. */
        private val MINIMUM_LATENESS = 50.milliseconds
    }
}
