package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The timing of an [EvacuationCheck]. */
public data class EvacuationCheckSettings(
    /**
     * The time between two reads of the evacuations.
     *
     * With the rest of a turn, a slow answer and the relay to other nodes, an omitted event is known in less than 5 s. A check runs
     * beside the read of the list of servers: in place of it, the age of the list would exceed what other nodes accept.
     */
    public val interval: Duration = 2_100.milliseconds,
    /** How long the read may take. It is longer than for other reads, since nothing waits for it, and shorter than [interval]. */
    public val timeout: Duration = 1_500.milliseconds,
    /** The time without a turn after which this node counts as one that has begun to read anew. */
    public val interruption: Duration = 1.seconds,
    /** The turns without a check at the beginning. A node whose peers do not answer reads one or two turns itself, and needs the list then. */
    public val firstTurns: Int = 2,
)

/**
 * Decides when a node that watches the platform also reads all evacuations, because a watch may omit an event for good.
 *
 * Nodes that read the platform in turns do so, and their number does not depend on the size of the fleet. A node that reads it now and then,
 * because a peer did not answer, does so only when none has answered for [EvacuationCheckSettings.interval]. Not thread-safe.
 */
public class EvacuationCheck(
    now: Moment,
    public val settings: EvacuationCheckSettings = EvacuationCheckSettings(),
) {
    private var lastTurnAt = Moment.DISTANT_PAST
    private var listedAt = Moment.DISTANT_PAST

    // The first read of a node is a complete one.
    private var answeredAt = now
    private var turns = 0

    /** Returns whether the turn that begins at [now] is to read the evacuations, and if so counts them as read. */
    public fun takeTurn(now: Moment): Boolean {
        if (now - lastTurnAt > settings.interruption) turns = 0
        lastTurnAt = now
        turns++
        // A node whose peers have not answered for so long has only its own watch, which may have omitted an event.
        val earliest = if (turns > settings.firstTurns) listedAt else maxOf(listedAt, answeredAt)
        val isDue = now - earliest >= settings.interval
        if (isDue) listedAt = now
        return isDue
    }

    /** Records that a peer, which lists the evacuations or asks one that does, answered with recent data. */
    public fun peerAnswered(now: Moment) {
        answeredAt = now
    }

    /** Records that this process was paused, after which it reads everything anyway. */
    public fun interrupted(now: Moment) {
        lastTurnAt = Moment.DISTANT_PAST
        answeredAt = now
    }
}
