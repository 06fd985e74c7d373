package org.celeryusher.kernel.distribution

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import net.openhft.hashing.LongHashFunction
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/**
 * A bounded memory of documents that were refused, so that the same bytes are not parsed again.
 *
 * A digest under which a peer announced such bytes is not asked for during [RETRY_AFTER] once the same bytes have come twice: bytes that
 * came once may have been damaged on the way.
 */
internal class RefusedDocuments(
    private val capacity: Int,
) {
    /** The bytes of a document, without holding them. */
    data class Fingerprint(
        val size: Int,
        val hash: Long,
    )

    private data class PlatformRefusal(
        val version: Long,
        val at: Moment,
    )

    private val faultsByFingerprint = BoundedMap<Fingerprint, NonEmptyList<ConfigurationFault>>(capacity)
    private val refusedAt = BoundedMap<ConfigurationDigest, Moment>(capacity)
    private val versions = BoundedMap<Fingerprint, Long>(capacity)
    private var platformRefusal: PlatformRefusal? = null

    /** Returns the faults for which a document with [fingerprint] was refused before, or null when it is new. */
    fun faultsOf(fingerprint: Fingerprint): NonEmptyList<ConfigurationFault>? = faultsByFingerprint[fingerprint]

    /** Remembers a new refusal; [version] is null when the document has none that can be read. */
    fun add(
        fingerprint: Fingerprint,
        faults: NonEmptyList<ConfigurationFault>,
        version: Long?,
    ) {
        faultsByFingerprint[fingerprint] = faults.take(MAXIMUM_REMEMBERED_FAULTS).toNonEmptyListOrNull() ?: faults
        version?.let { versions[fingerprint] = it }
    }

    /** Remembers that bytes that were refused before came again as [claimed]. */
    fun addRepeated(
        claimed: ConfigurationDigest,
        now: Moment,
    ) {
        refusedAt[claimed] = now
    }

    /** Remembers that the platform's present document is the refused one with [fingerprint]. */
    fun addFromPlatform(
        fingerprint: Fingerprint,
        now: Moment,
    ) {
        platformRefusal = versions[fingerprint]?.let { PlatformRefusal(it, now) }
    }

    /** Returns whether [digest] shall not be asked for at [now]. */
    fun avoids(
        digest: ConfigurationDigest,
        now: Moment,
    ): Boolean = refusedAt[digest]?.let { now < it + RETRY_AFTER } ?: false

    /** Returns the version of the refused document that the platform has shown lately, or null. */
    fun versionOnPlatform(now: Moment): Long? = platformRefusal?.takeIf { now < it.at + RETRY_AFTER }?.version

    companion object {
        private const val MAXIMUM_REMEMBERED_FAULTS = 20
        val RETRY_AFTER = 30.seconds

        fun fingerprintOf(bytes: ByteArray): Fingerprint = Fingerprint(bytes.size, LongHashFunction.xx3().hashBytes(bytes))
    }
}
