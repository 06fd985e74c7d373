package org.celeryusher.node.call

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.celeryusher.kernel.execution.CrashSuspects
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.QuarantineReport
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.control.GossipExtension
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration

/** The requests that are suspected of crashing backend servers. Shared by the proxy, the guard and gossip; thread-safe. */
public class CrashRegistry(
    private val clock: ProcessClock,
    private val decisions: DecisionLog,
) : GossipExtension {
    private val suspects = CrashSuspects()

    /** Returns whether a request with [fingerprint] may run, and whether only as an exclusive call. */
    @Synchronized
    public fun verdict(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): CrashVerdict = suspects.verdict(fingerprint, now)

    /** Records a crash of the backend server while the requests in [running] were running, and returns the resulting crash reports. */
    @Synchronized
    public fun recordCrash(
        running: Set<RequestFingerprint>,
        quarantine: Duration,
        now: Moment,
    ): List<QuarantineReport> {
        val reports = suspects.recordCrash(running, isComplete = true, quarantine, now)
        decisions.record("crash", "suspects run alone", "the backend server stopped", "requests" to running.size, "news" to reports)
        return reports
    }

    /** Records that a proxy observed one crash while a request with [fingerprint] was running on another instance. */
    public fun suspect(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Unit = merge(QuarantineReport(fingerprint, SUSPICION_MILLISECONDS, crashes = 1), now)

    /** Records that a request with [fingerprint] completed without a crash, which clears the suspicion. */
    @Synchronized
    public fun recordCompletion(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Unit = suspects.recordCompletion(fingerprint, now)

    /** Applies a crash report from another node. */
    @Synchronized
    public fun merge(
        report: QuarantineReport,
        now: Moment,
    ) {
        if (suspects.merge(report, now)) decisions.record("quarantine", "taken over", "crash report from another node", "news" to report)
    }

    /** Returns the reports of all requests that are suspected or quarantined at [now]. */
    @Synchronized
    public fun activeReports(now: Moment): List<QuarantineReport> = suspects.activeReports(now)

    /** Returns the crash reports to send to another node, encoded as gossip entries. */
    override fun outgoing(): List<JsonElement> = activeReports(clock.now()).take(MAXIMUM_REPORTS).map { Json.encodeToJsonElement(it) }

    /** Applies crash reports received by gossip. Malformed entries are ignored. */
    override fun incoming(entries: List<JsonElement>) {
        for (element in entries.take(MAXIMUM_REPORTS)) {
            try {
                merge(Json.decodeFromJsonElement<QuarantineReport>(element), clock.now())
            } catch (_: SerializationException) {
                continue
            } catch (_: IllegalArgumentException) {
                continue
            }
        }
    }

    private companion object {
        const val MAXIMUM_REPORTS = 32
        const val SUSPICION_MILLISECONDS = 600_000L
    }
}
