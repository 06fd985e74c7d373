package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/** Calls and how many of them were served. They lose weight when they have been used, not with time, so that rare calls add up. */
internal class ServedCalls {
    private var offered = 0.0
    private var served = 0.0
    private var newCalls = 0.0
    private var newFailures = 0.0
    private var failedAt = Moment.DISTANT_PAST
    private var isDown = false

    /** Whether enough calls were recorded since they were last used to use them. */
    val isReady: Boolean get() = newCalls >= MINIMUM_EVIDENCE

    /** Returns whether the last calls failed, recently, and have not been used yet. */
    fun hasNewFailures(now: Moment): Boolean = newFailures >= MINIMUM_FAILURES && now - failedAt <= failuresHold

    /** Records [calls] and returns whether they are the first to be served after hardly any was. */
    fun add(
        calls: Double,
        servedShare: Double,
        now: Moment,
    ): Boolean {
        val endsOutage = isDown && servedShare >= ALL_SERVED
        if (endsOutage) clear()
        offered += calls
        served += calls * servedShare
        newCalls += calls
        newFailures = if (servedShare < 1.0) newFailures + calls * (1.0 - servedShare) else 0.0
        if (servedShare < 1.0) failedAt = now
        return endsOutage
    }

    /** Returns the share of the calls that were served, 1 if they are too few to tell. */
    fun servedShare(): Double = if (offered < MINIMUM_EVIDENCE) 1.0 else served / offered

    /** Discards failures that are not followed by others, so that they do not outweigh a recovery. */
    fun discardOldFailures(now: Moment) {
        if (served < offered && now - failedAt > failuresHold) clear()
    }

    private fun clear() {
        offered = 0.0
        served = 0.0
        newCalls = 0.0
        newFailures = 0.0
        isDown = false
    }

    /** Takes weight from the calls, which have led to a decision. */
    fun markUsed() {
        isDown = servedShare() < MAXIMUM_SERVED_OF_OUTAGE
        val kept = if (offered <= 0.0) 0.0 else minOf(KEPT_EVIDENCE, MAXIMUM_KEPT_CALLS / offered)
        offered *= kept
        served *= kept
        newCalls = 0.0
        newFailures = 0.0
    }

    companion object {
        /** How long failures that are too few to be used keep the share from growing and wait for more: about two calls of a rare route. */
        val failuresHold = 2.seconds

        /** A service that serves fewer calls is down rather than overloaded, and has its capacity back when it serves again. */
        const val MAXIMUM_SERVED_OF_OUTAGE = 0.05

        const val KEPT_EVIDENCE = 0.3
        const val MAXIMUM_KEPT_CALLS = 1.0
        const val MINIMUM_EVIDENCE = 3.0
        const val MINIMUM_FAILURES = 0.5

        /** The share from which on no call counts as failed; reports state whole percents. */
        const val ALL_SERVED = 0.995
    }
}
