package org.celeryusher.kernel.distribution

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import net.openhft.hashing.LongHashFunction
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/**
 * A bounded cache of refused documents, which avoids parsing the same bytes again.
 *
 * When the same bytes arrive a second time, the digest under which the peer announced them is not pulled again for [RETRY_AFTER]. Bytes
 * that arrived only once may have been corrupted in transit.
 */
internal class RefusedDocuments(
    private val capacity: Int,
) {
    /** Identifies the bytes of a document by their size and hash, so that the bytes need not be kept. */
    data class Fingerprint(
        val size: Int,
        val hash: Long,
    )

    private data class PlatformRefusal(
        val version: Long,
        val at: Moment,
    )

    private val faultsByFingerprint = BoundedMap<Fingerprint, NonEmptyList<ConfigurationFault>>(capacity)
    private val lastRepeatedAt = BoundedMap<ConfigurationDigest, Moment>(capacity)
    private val versionsByFingerprint = BoundedMap<Fingerprint, Long>(capacity)
    private var platformRefusal: PlatformRefusal? = null

    /** Returns the faults for which a document with [fingerprint] was refused before, or null when it was not. */
    fun faultsOf(fingerprint: Fingerprint): NonEmptyList<ConfigurationFault>? = faultsByFingerprint[fingerprint]

    /** Records a newly refused document. [version] is null when the version could not be read. */
    fun add(
        fingerprint: Fingerprint,
        faults: NonEmptyList<ConfigurationFault>,
        version: Long?,
    ) {
        faultsByFingerprint[fingerprint] = faults.take(MAXIMUM_REMEMBERED_FAULTS).toNonEmptyListOrNull() ?: faults
        version?.let { versionsByFingerprint[fingerprint] = it }
    }

    /** Records that bytes refused before arrived again, announced as [claimed]. */
    fun addRepeated(
        claimed: ConfigurationDigest,
        now: Moment,
    ) {
        lastRepeatedAt[claimed] = now
    }

    /** Records that the platform currently serves the refused document with [fingerprint]. */
    fun addFromPlatform(
        fingerprint: Fingerprint,
        now: Moment,
    ) {
        platformRefusal = versionsByFingerprint[fingerprint]?.let { PlatformRefusal(it, now) }
    }

    /** Returns whether [digest] must not be pulled at [now]. */
    fun isSuppressed(
        digest: ConfigurationDigest,
        now: Moment,
    ): Boolean = lastRepeatedAt[digest]?.let { now < it + RETRY_AFTER } ?: false

    /** Returns the version of a refused document that the platform served less than [RETRY_AFTER] ago, or null. */
    fun refusedPlatformVersion(now: Moment): Long? = platformRefusal?.takeIf { now < it.at + RETRY_AFTER }?.version

    companion object {
        private const val MAXIMUM_REMEMBERED_FAULTS = 20
        val RETRY_AFTER = 30.seconds

        fun fingerprintOf(bytes: ByteArray): Fingerprint = Fingerprint(bytes.size, LongHashFunction.xx3().hashBytes(bytes))
    }
}
