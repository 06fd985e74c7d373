package org.celeryusher.standin.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One published configuration document, with the version that the platform filed it under. */
internal class PublishedVersion(
    val version: Long,
    val bytes: ByteArray,
)

/** What the platform would answer now: an immutable value, replaced by each publication and each change of faults. */
internal data class PlatformState(
    val versions: List<PublishedVersion> = emptyList(),
    val faults: List<PlatformFault> = emptyList(),
) {
    /** Whether each call is answered with 503. */
    val isUnavailable: Boolean get() = PlatformFault.Unavailable in faults

    /** How long each answer is delayed. */
    val answerDelay: Duration
        get() =
            faults
                .filterIsInstance<PlatformFault.Slow>()
                .sumOf { it.delayMilliseconds }
                .milliseconds

    /** The share of a configuration answer that is sent. */
    val keptShare: Double get() = faults.filterIsInstance<PlatformFault.TruncatedBody>().minOfOrNull { it.keptShare } ?: 1.0

    /** The lag of the instance list that a fault imposes, or null when none does. */
    val listLag: Duration? get() = faults.filterIsInstance<PlatformFault.ListLag>().maxOfOrNull { it.lagMilliseconds }?.milliseconds

    /** The version that is served as the newest, or null when nothing is published. */
    val newest: PublishedVersion?
        get() {
            val behind = faults.filterIsInstance<PlatformFault.Stale>().maxOfOrNull { it.versionsBehind } ?: 0
            return versions.getOrNull((versions.lastIndex - behind).coerceAtLeast(0))
        }

    /** Returns whether a watch for a version after [after] is answered at once. */
    fun hasNews(after: Long): Boolean = isUnavailable || (newest?.version ?: Long.MIN_VALUE) > after

    /** Returns the version that the call with the running number [callNumber] is answered with. */
    fun servedTo(callNumber: Long): PublishedVersion? {
        val newest = newest ?: return null
        val crossed = PlatformFault.Crossed in faults && callNumber % 2 == 1L
        return if (crossed) versions[(versions.indexOf(newest) - 1).coerceAtLeast(0)] else newest
    }

    /** Returns the state after [published] was added; only the last [KEPT_VERSIONS] are kept. */
    fun withVersion(published: PublishedVersion): PlatformState = copy(versions = (versions + published).takeLast(KEPT_VERSIONS))

    private companion object {
        const val KEPT_VERSIONS = 8
    }
}
