package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The calls whose connection to a guard was lost while they may have been running.
 *
 * A guard that ends together with its backend server reports no crash. Once the list of servers shows that the server has ended as well,
 * the calls that were lost there were running in a crash. If only the guard has ended, they were not. Not thread-safe.
 */
public class LostCalls(
    private val memory: Duration = 15.seconds,
    private val maximumEntries: Int = 1_024,
) {
    private data class Process(
        val server: InstanceName,
        val start: Long?,
    )

    private class Entry(
        val process: Process,
        val fingerprint: RequestFingerprint,
        val at: Moment,
    )

    private val entries = ArrayDeque<Entry>()

    /** The number of remembered calls. */
    public val size: Int get() = entries.size

    /** Records that a call to [process] of [server] was lost at [now]. */
    public fun recordLoss(
        server: InstanceName,
        process: Incarnation?,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) {
        evictExpired(now)
        entries += Entry(Process(server, process?.start), fingerprint, now)
        if (entries.size > maximumEntries) entries.removeFirst()
    }

    /**
     * Records that [process] of [server] has ended, and returns the requests that were lost there and no longer count as lost.
     *
     * A server that [wasLeaving] did not crash.
     */
    public fun recordEnd(
        server: InstanceName,
        process: Incarnation?,
        wasLeaving: Boolean,
        now: Moment,
    ): Set<RequestFingerprint> {
        evictExpired(now)
        val ended = Process(server, process?.start)
        val lost = entries.filter { it.process == ended }
        entries.removeAll(lost)
        return if (wasLeaving) emptySet() else lost.mapTo(HashSet()) { it.fingerprint }
    }

    private fun evictExpired(now: Moment) {
        while (entries.isNotEmpty() && now - entries.first().at > memory) entries.removeFirst()
    }
}
