package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/**
 * The requests that completed within the last [memory], kept in two generations of [maximumPerGeneration] fingerprints at most.
 *
 * A fingerprint is forgotten between half of [memory] and [memory] after its latest completion. When a generation is full, further
 * fingerprints are not remembered.
 */
internal class RecentCompletions(
    memory: Duration,
    maximumEntries: Int,
) {
    private val generationLength = memory / 2
    private val maximumPerGeneration = maximumEntries / 2
    private var current = HashSet<RequestFingerprint>()
    private var previous = HashSet<RequestFingerprint>()
    private var startedAt = Moment.DISTANT_PAST

    /** The number of remembered fingerprints, counting one twice that completed in both generations. */
    val size: Int get() = current.size + previous.size

    /** Records a completion. */
    fun add(
        fingerprint: RequestFingerprint,
        now: Moment,
    ) {
        rotate(now)
        if (current.size < maximumPerGeneration) current += fingerprint
    }

    /** Returns whether a request with [fingerprint] completed recently. */
    fun contains(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Boolean {
        rotate(now)
        return fingerprint in current || fingerprint in previous
    }

    private fun rotate(now: Moment) {
        val age = now - startedAt
        if (age < generationLength) return
        previous = if (age < generationLength * 2) current else HashSet()
        current = HashSet()
        startedAt = now
    }
}
