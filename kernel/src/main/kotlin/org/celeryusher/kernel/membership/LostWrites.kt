package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides how long a key that is missing after the store has lost changes is no proof that it was removed.
 *
 * Whoever wrote a lost key writes it again within [bound] of the store's return. Until then, what was known before the loss holds; later, a key
 * that is still missing has been removed, and one that is still there was not. Not thread-safe.
 */
public class LostWrites(
    public val bound: Duration,
) {
    /** When the caution ends, or [Moment.DISTANT_PAST] if no changes were ever lost. */
    public var endsAt: Moment = Moment.DISTANT_PAST
        private set

    /** Records at [now] that the store has lost changes. A second loss during the caution extends it. */
    public fun begin(now: Moment) {
        endsAt = maxOf(endsAt, now + bound)
    }

    /** Returns whether lost keys may not have been written again at [now]. */
    public fun arePending(now: Moment): Boolean = now < endsAt

    public companion object {
        /** The platform guarantees that the entries of running servers are back about two seconds after its return. */
        public val SERVER_BOUND: Duration = 2.seconds

        /** An operator repeats a lost write within the time of an evacuation (5 s) after the longest delay that an unstable store adds (5 s). */
        public val OPERATOR_BOUND: Duration = 10.seconds
    }
}
