package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when a node that could not be reached is tried again.
 *
 * Addresses the loss of a data centre: without a pause, each call that selects a lost instance waits for a connection of its own, and all nodes
 * connect in the same moment when it returns. Not thread-safe.
 */
public class ConnectBackoff {
    private var pause = firstPause
    private var notBefore = Moment.DISTANT_PAST
    private var attemptSince: Moment? = null

    /** Returns whether a call at [now] may wait for a connection: none has failed just now, and none has been pending for long. */
    public fun mayWait(now: Moment): Boolean = now >= notBefore && attemptSince.let { it == null || now - it < longestWait }

    /** Records that an attempt to connect begins. */
    public fun attemptStarted(now: Moment) {
        attemptSince = now
    }

    /** Records that the attempt succeeded. */
    public fun connected() {
        attemptSince = null
        pause = firstPause
    }

    /** Records that the attempt was given up for a reason that says nothing about the other node. */
    public fun abandoned() {
        attemptSince = null
    }

    /**
     * Records that the attempt failed at [now]. The pause doubles with each failure in a row and is drawn at random from its second half.
     *
     * A refusal that comes at once costs the next call nothing, and a node that starts listens soon, so there is no pause after it.
     */
    public fun failed(
        now: Moment,
        random: Random,
    ) {
        val startedAt = attemptSince
        attemptSince = null
        if (startedAt != null && now - startedAt < quickFailure) return
        notBefore = now + pause * (1.0 - random.nextDouble() / 2)
        pause = minOf(pause * 2, longestPause)
    }

    private companion object {
        val firstPause: Duration = 200.milliseconds

        /** Longer than a refusal takes between data centres, and shorter than the timeout of an attempt. */
        val quickFailure: Duration = 100.milliseconds

        /** Limits how much longer than needed a node that has returned is left out. */
        val longestPause: Duration = 1_000.milliseconds

        /** How long other calls wait for a pending attempt. A node that has just started may take as long. */
        val longestWait: Duration = 300.milliseconds
    }
}
