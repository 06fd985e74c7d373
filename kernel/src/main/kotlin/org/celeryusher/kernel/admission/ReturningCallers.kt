package org.celeryusher.kernel.admission

import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The requests that this node refused with a `Retry-After`, to recognize those that return after it.
 *
 * A request that returns too early forfeits its place, so retrying at once gains nothing. A request that returns to another node is not
 * recognized and counts as new. Equal requests of different callers are counted, not told apart. Not thread-safe.
 */
public class ReturningCallers {
    private val dueAt = LinkedHashMap<RequestFingerprint, ArrayDeque<Moment>>()

    /** Records that [request] was refused at [now] with a `Retry-After` of [retryAfter]. */
    public fun recordRefusal(
        request: RequestFingerprint,
        retryAfter: Duration,
        now: Moment,
    ) {
        if (dueAt.size >= MAXIMUM_REQUESTS && request !in dueAt) dueAt.remove(dueAt.keys.first())
        val due = dueAt.getOrPut(request, ::ArrayDeque)
        if (due.size < MAXIMUM_EQUAL_REQUESTS) due += now + retryAfter
    }

    /** Returns whether [request], which arrives at [now], returns after its `Retry-After`, and forgets that refusal. */
    public fun isReturning(
        request: RequestFingerprint,
        now: Moment,
    ): Boolean {
        val due = dueAt[request] ?: return false
        due.removeAll { now - it > MAXIMUM_DELAY }
        val earliest = due.minOrNull()
        if (earliest != null) due.remove(earliest)
        if (due.isEmpty()) dueAt.remove(request)
        return earliest != null && now + TOLERANCE >= earliest
    }

    private companion object {
        /** Limits the memory: about the refusals of one second at a busy node. */
        const val MAXIMUM_REQUESTS = 1_024
        const val MAXIMUM_EQUAL_REQUESTS = 16

        /** Callers round the time that they wait. */
        val TOLERANCE = 5.milliseconds

        /** A caller that returns much later has begun anew. */
        val MAXIMUM_DELAY = 2_000.milliseconds
    }
}
