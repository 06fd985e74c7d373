package org.celeryusher.standin.server

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Counts, outside of the system under test, how often each piece of work was started on any backend server.
 *
 * Work is named by the query parameter `work` of a request. A run counts when it starts, whether or not it ends.
 */
public class WorkLedger {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** Records that a server starts to run [work]. */
    public fun recordStart(work: String) {
        runs.computeIfAbsent(work) { AtomicInteger() }.incrementAndGet()
    }

    /** Returns how often [work] was started. */
    public fun runsOf(work: String): Int = runs[work]?.get() ?: 0

    /** How many pieces of work were started at least once. */
    public val startedWorks: Int get() = runs.size

    /** The largest number of runs of one piece of work whose name starts with [prefix]; 0 when there is none. */
    public fun maximumRuns(prefix: String = ""): Int = runs.entries.filter { it.key.startsWith(prefix) }.maxOfOrNull { it.value.get() } ?: 0

    /** Returns the works with more than one run and a name that starts with [prefix]. */
    public fun doubled(prefix: String = ""): List<String> =
        runs.entries.filter { it.key.startsWith(prefix) && it.value.get() > 1 }.map { it.key }
}
