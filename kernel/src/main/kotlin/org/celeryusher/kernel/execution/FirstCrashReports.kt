package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether a node that has just started knows enough of the crashes in the fleet to place calls.
 *
 * It does after the answer of one node that does, or after [waitLimit] from the time at which it first knew of a peer. When all nodes start
 * at once, none of them knows anything, so an answer or failure of each of [queries] queries is enough too. Not thread-safe.
 */
public class FirstCrashReports(
    private val queries: Int = CrashReportPeers.QUERIES,
    private val waitLimit: Duration = 500.milliseconds,
) {
    private val ended = HashSet<Int>()
    private var firstPeerAt: Moment? = null
    private var isInformed = false

    /** Records that at [now] this node knows of [peers] other nodes. */
    public fun recordPeers(
        peers: Int,
        now: Moment,
    ) {
        if (peers > 0 && firstPeerAt == null) firstPeerAt = now
    }

    /** Records the answer to query [position] of a node that [isPeerInformed] itself. */
    public fun recordAnswer(
        position: Int,
        isPeerInformed: Boolean,
    ) {
        ended += position
        if (isPeerInformed) isInformed = true
    }

    /** Records that query [position] had no answer, or that there was no peer to ask. */
    public fun recordFailure(position: Int) {
        ended += position
    }

    /** Returns whether this node may place calls at [now]. It does not wait while it knows of no peer. */
    public fun isInformed(now: Moment): Boolean {
        val since = firstPeerAt ?: return true
        if (ended.size >= queries || now - since >= waitLimit) isInformed = true
        return isInformed
    }
}
