package org.celeryusher.standin.server

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Counts how often each piece of work was started on any backend server, independently of the system under test.
 *
 * The query parameter `work` of a request identifies the work. A run counts from its start, whether or not it completes.
 */
public class WorkRunCounter {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** Records that a backend server starts to run [work]. */
    public fun recordStart(work: String) {
        runs.computeIfAbsent(work) { AtomicInteger() }.incrementAndGet()
    }

    /** Returns how often [work] was started. */
    public fun runsOf(work: String): Int = runs[work]?.get() ?: 0

    /** Number of pieces of work that were started at least once. */
    public val startedWorkCount: Int get() = runs.size

    /** Returns the highest run count of any work whose name starts with [prefix], or 0 if there is no such work. */
    public fun maximumRuns(prefix: String = ""): Int = runs.entries.filter { it.key.startsWith(prefix) }.maxOfOrNull { it.value.get() } ?: 0

    /** Returns the names of all work that starts with [prefix] and was started more than once. */
    public fun startedMoreThanOnce(prefix: String = ""): List<String> =
        runs.entries.filter { it.key.startsWith(prefix) && it.value.get() > 1 }.map { it.key }
}
