package org.celeryusher.kernel.shutdown

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a stopping node does at a time. */
public enum class StopPhase {
    /** The node still takes calls, because callers may not know yet that it leaves. */
    NOTICE,

    /** The node refuses new calls of callers and waits for those in flight. */
    DRAIN,

    /** The node ends. */
    END,
}

/**
 * The course of a graceful shutdown that began at [startedAt].
 *
 * Callers learn within [notice] that the node leaves. Then the node ends once nothing has been in flight for a short while, in which it sees also
 * the requests that it has not begun to read. New calls, which it refuses at once, prolong this while only to a limit. It ends in any case in time for its last answers to leave before the process is killed, which
 * happens [grace] after the start; where nothing is known of that, it waits for [drainLimit] after the notice. Not thread-safe.
 */
public class StopSchedule(
    private val startedAt: Moment,
    notice: Duration,
    private val grace: Duration?,
    drainLimit: Duration,
) {
    private var busyUntil = startedAt

    /** When nothing was in flight for the first time after the notice, so that all accepted calls had ended. */
    private var acceptedEndedAt: Moment? = null
    private val noticeEndsAt = startedAt + if (grace == null) notice else minOf(notice, grace / LONGEST_NOTICE)

    /** When the node ends although calls are in flight. */
    public val endsAt: Moment = if (grace == null) noticeEndsAt + drainLimit else startedAt + grace - grace / CLOSING_TIME

    /** Returns the phase at [now] with [inFlight] calls and answers in flight. */
    public fun phase(
        inFlight: Int,
        now: Moment,
    ): StopPhase {
        if (inFlight > 0) busyUntil = now
        if (inFlight == 0 && now >= noticeEndsAt) acceptedEndedAt = acceptedEndedAt ?: now
        return when {
            now >= endsAt -> StopPhase.END
            now < noticeEndsAt -> StopPhase.NOTICE
            now - maxOf(busyUntil, noticeEndsAt) >= QUIET_TIME -> StopPhase.END
            inFlight == 0 && now - (acceptedEndedAt ?: now) >= LONGEST_QUIET_WAIT -> StopPhase.END
            else -> StopPhase.DRAIN
        }
    }

    /**
     * Returns whether a call that arrives at [now] and expires at [deadline] is taken.
     *
     * After the notice only calls that belong to a request in flight are: those that the backend server makes while it runs one
     * ([isOfRunningRequest]). They must expire before the node ends.
     */
    public fun accepts(
        deadline: Moment?,
        isOfRunningRequest: Boolean,
        now: Moment,
    ): Boolean = now < noticeEndsAt || (isOfRunningRequest && deadline != null && deadline < endsAt)

    private companion object {
        /** Longer than a request waits to be read while the process gets too little processor time. */
        val QUIET_TIME = 300.milliseconds

        /** How long a stop waits for [QUIET_TIME] after all accepted calls have ended, while it refuses others. */
        val LONGEST_QUIET_WAIT = 1.seconds

        /** The notice is at most this part of the grace time. */
        const val LONGEST_NOTICE = 2.5

        /** This part of the grace time is left for closing connections and ending the process. */
        const val CLOSING_TIME = 12
    }
}
