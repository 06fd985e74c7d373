package org.celeryusher.node.call

import org.celeryusher.kernel.identity.Address
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.PathCounts
import java.util.concurrent.atomic.AtomicLong

/** Logs and counts the connections to other nodes that have gone silent. Thread-safe. */
internal class PathReports(
    private val decisions: DecisionLog?,
) {
    private val suspected = AtomicLong()
    private val replaced = AtomicLong()

    /** How many connections have gone silent. */
    val counts: PathCounts get() = PathCounts(suspected.get(), replaced.get())

    /** Records that the connection to [guard] carries no new calls. */
    fun recordSuspected(guard: Address) {
        suspected.incrementAndGet()
        decisions?.record("connection", "suspected", "no answer to a ping", "node" to guard)
    }

    /** Records that the connection to [guard] is replaced. */
    fun recordReplaced(guard: Address) {
        replaced.incrementAndGet()
        decisions?.record("connection", "replaced", "no answer to a ping", "node" to guard)
    }
}
