package org.celeryusher.kernel.execution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.InstanceName

/**
 * Identifies one crash of the backend server [server], however many nodes report it.
 *
 * [processStart] names the process that crashed. [ordinal] counts the crashes that a guard saw before it knew of the next process.
 */
@Serializable
public data class CrashId(
    @SerialName("s") public val server: InstanceName,
    @SerialName("p") public val processStart: Long,
    @SerialName("o") public val ordinal: Int = 0,
)

/** A request that was running when a backend server crashed; it is [cleared] once it is known to complete without a crash. */
@Serializable
public data class CrashSuspect(
    @SerialName("f") public val fingerprint: RequestFingerprint,
    @SerialName("c") public val cleared: Boolean = false,
)

/**
 * What one node tells another about a crash.
 *
 * Reports of one crash are merged by union, so that it makes no difference in which order, how late and how often they arrive.
 */
@Serializable
public data class CrashReport(
    @SerialName("i") public val id: CrashId,
    /** The time since the crash. Clocks of different processes cannot be compared. */
    @SerialName("a") public val ageMilliseconds: Long,
    @SerialName("q") public val quarantineMilliseconds: Long,
    /** Whether [suspects] are all requests that were running. A node that has only lost its own calls to a server does not know that. */
    @SerialName("w") public val isComplete: Boolean,
    @SerialName("r") public val suspects: List<CrashSuspect>,
) {
    /** An upper bound on the encoded size in bytes. */
    public val estimatedBytes: Int get() = ENVELOPE_BYTES + id.server.value.length + suspects.size * SUSPECT_BYTES

    private companion object {
        const val ENVELOPE_BYTES = 64
        const val SUSPECT_BYTES = 48
    }
}

/** The crash reports up to change number [cursor] of the node that sends them. */
public data class CrashReportBatch(
    public val reports: List<CrashReport>,
    public val cursor: Long,
)
