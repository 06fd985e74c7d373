package org.celeryusher.standin.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A published configuration document and the version under which it is stored. */
internal class PublishedVersion(
    val version: Long,
    val bytes: ByteArray,
)

/** Immutable state that determines the platform's answers. Each publication and each change of faults replaces it. */
internal data class PlatformState(
    val versions: List<PublishedVersion> = emptyList(),
    val faults: List<PlatformFault> = emptyList(),
) {
    /** Whether every call is answered with 503. */
    val isUnavailable: Boolean get() = PlatformFault.Unavailable in faults

    /** Delay of each answer. */
    val answerDelay: Duration
        get() =
            faults
                .filterIsInstance<PlatformFault.Slow>()
                .sumOf { it.delayMilliseconds }
                .milliseconds

    /** Share of a configuration answer that is sent, from 0 to 1. */
    val keptShare: Double get() = faults.filterIsInstance<PlatformFault.TruncatedBody>().minOfOrNull { it.keptShare } ?: 1.0

    /** Delay of the instance list caused by a fault, or null if there is no such fault. */
    val listLag: Duration? get() = faults.filterIsInstance<PlatformFault.ListLag>().maxOfOrNull { it.lagMilliseconds }?.milliseconds

    /** The version served as the newest one, or null before the first publication. */
    val newestServed: PublishedVersion?
        get() {
            val behind = faults.filterIsInstance<PlatformFault.Stale>().maxOfOrNull { it.versionsBehind } ?: 0
            return versions.getOrNull((versions.lastIndex - behind).coerceAtLeast(0))
        }

    /** Returns whether a watch for a version newer than [after] is answered immediately. */
    fun answersWatch(after: Long): Boolean = isUnavailable || (newestServed?.version ?: Long.MIN_VALUE) > after

    /** Returns the version with which the configuration call number [callNumber], counted from 0, is answered. */
    fun versionFor(callNumber: Long): PublishedVersion? {
        val newestServed = newestServed ?: return null
        val crossed = PlatformFault.AlternatingVersions in faults && callNumber % 2 == 1L
        return if (crossed) versions[(versions.indexOf(newestServed) - 1).coerceAtLeast(0)] else newestServed
    }

    /** Returns a copy to which [published] is added. It retains the last [KEPT_VERSIONS] versions. */
    fun withVersion(published: PublishedVersion): PlatformState = copy(versions = (versions + published).takeLast(KEPT_VERSIONS))

    private companion object {
        const val KEPT_VERSIONS = 8
    }
}
