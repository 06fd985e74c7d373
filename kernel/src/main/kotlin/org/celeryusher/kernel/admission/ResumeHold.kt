package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds back the starts of calls at a guard whose process was paused, until what it knew before the pause has been read again.
 *
 * Addresses calls that wait at a guard, or in its sockets, during a pause in which an operator evacuates the data centre or the backend server
 * becomes cold. A pause shows as a gap between two calls of [observe], which must be called at least every [OBSERVATION_INTERVAL]. The hold
 * ends when the evacuations and the state of a server with a cold limit were read after the pause, or [LIMIT] after the pause was noticed.
 * Guards that have known no evacuation and have no cold limit hold nothing back. Not thread-safe.
 */
public class ResumeHold(
    private val cold: ColdLimit,
    now: Moment,
) {
    private var observedAt = now
    private var noticedAt = Moment.DISTANT_PAST
    private var readsCountFrom = Moment.DISTANT_PAST
    private var evacuationsReadAt = Moment.DISTANT_PAST
    private var hasKnownEvacuation = false

    /** The number of pauses after which calls were held back. */
    public var count: Long = 0
        private set

    /** Records that the process runs at [now]. Call it at each event of the guard, before the event is handled. */
    public fun observe(now: Moment) {
        val gap = now - observedAt
        val before = observedAt
        observedAt = maxOf(observedAt, now)
        if (gap <= PAUSE) return
        noticedAt = now
        // Another thread may have read before this one noticed the pause. A read sent this late after the last event was sent after the pause.
        readsCountFrom = before + PAUSE
        cold.resumed()
        if (needsEvacuations || needsState) count++
    }

    /** Records that an evacuation is known: from now on pauses matter. */
    public fun evacuationKnown() {
        hasKnownEvacuation = true
    }

    /** Records that the evacuations were current at the time [at]. */
    public fun evacuationsRead(at: Moment) {
        evacuationsReadAt = maxOf(evacuationsReadAt, at)
    }

    /** Returns until when no call may start, or null if calls may start at [now]. */
    public fun heldUntil(now: Moment): Moment? = (noticedAt + LIMIT).takeIf { now < it && (needsEvacuations || needsState) }

    private val needsEvacuations: Boolean get() = hasKnownEvacuation && evacuationsReadAt < readsCountFrom

    private val needsState: Boolean get() = cold.hasLimit && cold.statedAt < readsCountFrom

    public companion object {
        /** The maximum time between two calls of [observe] while the process runs. */
        public val OBSERVATION_INTERVAL: Duration = 250.milliseconds

        /** The longest time for which calls are held back: of the order of a target latency, and many times what a read takes. */
        public val LIMIT: Duration = 250.milliseconds

        /** A gap beyond this is a pause: the interval, and delays of scheduling on a busy instance. */
        private val PAUSE = 1.seconds
    }
}
