package org.celeryusher.kernel.execution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Whether and how a request may run, given the crashes during requests with the same fingerprint. */
public sealed interface CrashVerdict {
    /** The request may run without restrictions. */
    public data object RunNormally : CrashVerdict

    /** The request may run only while its backend server runs nothing else, because a server crashed while running it. */
    public data object RunExclusively : CrashVerdict

    /** The request is refused for [remaining], because it crashed backend servers repeatedly. */
    public data class Quarantined(
        public val remaining: Duration,
    ) : CrashVerdict
}

/** A crash report that nodes exchange about a request. The request is a suspect after one crash and quarantined after more. */
@Serializable
public data class QuarantineReport(
    public val fingerprint: RequestFingerprint,
    public val remainingMilliseconds: Long,
    public val crashes: Int,
)

/**
 * Tracks the requests that were running when backend servers crashed.
 *
 * After a crash, each request that was running is a suspect and runs exclusively from then on. A suspect that completes is cleared. A
 * suspect is quarantined by a second crash that only its work can have caused: it ran exclusively, or it was the only suspect that ran.
 * When several suspects run while a server crashes, all of them stay suspects. Requests are identified by fingerprint, so a caller cannot
 * evade a quarantine by sending the same request again.
 *
 * Contains at most [maximumEntries] entries. The oldest suspects are evicted first, then the quarantine that ends first.
 */
public class CrashSuspects(
    private val suspicion: Duration = DEFAULT_SUSPICION,
    private val maximumEntries: Int = DEFAULT_MAXIMUM_ENTRIES,
) {
    private class Entry(
        var crashes: Int,
        var until: Moment,
        var cleared: Boolean = false,
    )

    private val entries = LinkedHashMap<RequestFingerprint, Entry>()

    /** The number of tracked fingerprints. */
    public val size: Int get() = entries.size

    /** Returns whether and how a request with [fingerprint] may run at [now]. */
    public fun verdict(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): CrashVerdict {
        val entry = entries[fingerprint]
        return when {
            entry == null || !entry.isActive(now) -> CrashVerdict.RunNormally
            entry.crashes >= CRASHES_TO_QUARANTINE -> CrashVerdict.Quarantined(entry.until - now)
            else -> CrashVerdict.RunExclusively
        }
    }

    /**
     * Records that a backend server crashed while it ran the requests in [running], and returns the crash reports to disseminate.
     *
     * [running] contains the requests that this node had sent to that server, and [isComplete] states that no other request ran on it. A
     * proxy that detects the crash by a broken connection knows only its own calls and must pass false.
     */
    public fun recordCrash(
        running: Set<RequestFingerprint>,
        isComplete: Boolean,
        quarantine: Duration,
        now: Moment,
    ): List<QuarantineReport> {
        evictExpired(now)
        val suspects = running.filter { entries[it]?.isActive(now) == true }
        val culprit = suspects.singleOrNull().takeIf { isComplete }
        running.forEach { fingerprint ->
            if (fingerprint == culprit) {
                put(fingerprint, crashes = (entries.getValue(fingerprint).crashes + 1), until = now + quarantine)
            } else {
                markSuspect(fingerprint, now)
            }
        }
        evictExcess()
        return activeReports(now).filter { it.fingerprint in running }
    }

    /** Records that a request with [fingerprint] completed without a crash of its backend server, which clears a suspect. */
    public fun recordCompletion(
        fingerprint: RequestFingerprint,
        now: Moment,
    ) {
        val entry = entries[fingerprint] ?: return
        if (entry.isActive(now) && entry.crashes < CRASHES_TO_QUARANTINE) entry.cleared = true
    }

    /**
     * Applies a crash report from another node, and returns whether it changed the state here and should be forwarded.
     *
     * A report has an effect only if it states more crashes than are known here. The end time that arrived first therefore stays in
     * force, so that relayed reports never extend it, and neither a cleared nor an expired entry is restored.
     */
    public fun merge(
        report: QuarantineReport,
        now: Moment,
    ): Boolean {
        evictExpired(now)
        val known = entries[report.fingerprint]
        if (report.remainingMilliseconds <= 0 || report.crashes < 1) return false
        if (known != null && known.crashes >= report.crashes) return false
        put(report.fingerprint, report.crashes, now + minOf(report.remainingMilliseconds.milliseconds, MAXIMUM_QUARANTINE))
        evictExcess()
        return true
    }

    /** Returns the crash reports about all active entries at [now], to send to other nodes. */
    public fun activeReports(now: Moment): List<QuarantineReport> =
        entries
            .filterValues { it.isActive(now) }
            .map { (fingerprint, entry) -> QuarantineReport(fingerprint, (entry.until - now).inWholeMilliseconds, entry.crashes) }

    private fun Entry.isActive(now: Moment): Boolean = !cleared && now < until

    private fun markSuspect(
        fingerprint: RequestFingerprint,
        now: Moment,
    ) {
        val entry = entries[fingerprint]
        val alreadyQuarantined = entry != null && entry.isActive(now) && entry.crashes >= CRASHES_TO_QUARANTINE
        if (!alreadyQuarantined) put(fingerprint, crashes = 1, until = now + suspicion)
    }

    private fun put(
        fingerprint: RequestFingerprint,
        crashes: Int,
        until: Moment,
    ) {
        entries -= fingerprint
        entries[fingerprint] = Entry(crashes, until)
    }

    private fun evictExpired(now: Moment) {
        entries.values.removeIf { now >= it.until + RETENTION_AFTER_END }
    }

    private fun evictExcess() {
        while (entries.size > maximumEntries) {
            val oldestSuspect = entries.entries.firstOrNull { it.value.crashes < CRASHES_TO_QUARANTINE }
            val evicted = oldestSuspect ?: entries.entries.minBy { it.value.until }
            entries -= evicted.key
        }
    }

    private companion object {
        private const val CRASHES_TO_QUARANTINE = 2
        private const val DEFAULT_MAXIMUM_ENTRIES = 4_096
        private val DEFAULT_SUSPICION = 10.minutes
        private val MAXIMUM_QUARANTINE = 1_440.minutes

        /** Keeps expired entries until the reports in transit have arrived, so that a late report does not restore them. */
        private val RETENTION_AFTER_END = 30.seconds
    }
}
