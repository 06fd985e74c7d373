package org.celeryusher.node.call

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.celeryusher.kernel.execution.CrashId
import org.celeryusher.kernel.execution.CrashReport
import org.celeryusher.kernel.execution.CrashReportBatch
import org.celeryusher.kernel.execution.CrashReportEffect
import org.celeryusher.kernel.execution.CrashReportSender
import org.celeryusher.kernel.execution.CrashSuspects
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.LostCalls
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.control.GossipExtension
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration

/** The crashes of backend servers in the fleet and the requests suspected of them. Shared by proxy, guard and exchange; thread-safe. */
public class CrashRegistry(
    private val clock: ProcessClock,
    private val decisions: DecisionLog,
) : GossipExtension {
    private val suspects = CrashSuspects()
    private val lostCalls = LostCalls()
    private val sender = CrashReportSender()
    private val latestChange = MutableStateFlow(0L)

    /** Returns whether a request with [fingerprint] may run, which another node takes for a suspect if [isReported]. */
    @Synchronized
    public fun verdict(
        fingerprint: RequestFingerprint,
        now: Moment,
        isReported: Boolean = false,
    ): CrashVerdict = suspects.verdict(fingerprint, now, isReported)

    /** Records the crash [id] while the requests in [running] were running; [isComplete] states that these were all. */
    public fun recordCrash(
        id: CrashId,
        running: Set<RequestFingerprint>,
        isComplete: Boolean,
        quarantine: Duration,
        now: Moment,
    ) {
        val report = change { suspects.recordCrash(id, running, isComplete, quarantine, now) }
        val reason = if (isComplete) "the backend server stopped" else "the backend server ended after calls to its node were lost"
        decisions.record("crash", "suspects run alone", reason, "requests" to running.size, "news" to report)
    }

    /** Records that a request with [fingerprint] completed without a crash, which clears the suspicion. */
    public fun recordCompletion(
        fingerprint: RequestFingerprint,
        now: Moment,
    ) {
        if (change { suspects.recordCompletion(fingerprint, now) }) {
            decisions.record("crash", "cleared", "the request completed", "request" to fingerprint)
        }
    }

    /** Records that the connection to the guard of [member] was lost while a request with [fingerprint] may have been running. */
    @Synchronized
    internal fun recordLoss(
        member: Member,
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Unit = lostCalls.recordLoss(member.instance, member.incarnation, fingerprint, now)

    /** Records that [ended] is no longer listed, or that another process of it is: calls that were lost there were running in a crash. */
    internal fun recordEnd(
        ended: Member,
        quarantine: Duration,
        now: Moment,
    ) {
        val wasLeaving = ended.state == MemberState.LEAVING
        val lost = synchronized(this) { lostCalls.recordEnd(ended.instance, ended.incarnation, wasLeaving, now) }
        if (lost.isEmpty()) return
        recordCrash(CrashId(ended.instance, ended.incarnation?.start ?: 0), lost, isComplete = false, quarantine, now)
    }

    /** Applies [report], which the node at [origin] sent. */
    public fun merge(
        report: CrashReport,
        origin: String,
        now: Moment,
    ) {
        when (change { suspects.merge(report, now) }) {
            CrashReportEffect.CHANGED -> decisions.record("quarantine", "taken over", "crash report of $origin", "news" to report)
            CrashReportEffect.REFUSED -> decisions.record("quarantine", "refused", "crash report of $origin", "news" to report.id)
            CrashReportEffect.UNCHANGED -> Unit
        }
    }

    /** Returns the report of the latest crash in which a request with [fingerprint] was running, or null if there is none. */
    @Synchronized
    public fun latestReport(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): CrashReport? = suspects.latestReport(fingerprint, now)

    /** Returns the number of requests that are quarantined at [now]. */
    @Synchronized
    public fun quarantinedCount(now: Moment): Int = suspects.quarantined(now).size

    /** Returns the changes after [cursor] as soon as there are any, or none after [wait]. */
    internal suspend fun nextBatch(
        cursor: Long?,
        wait: Duration,
    ): CrashReportBatch {
        val known = cursor ?: 0
        if (wait.isPositive()) withTimeoutOrNull(wait) { latestChange.first { it != known } }
        delay(synchronized(this) { sender.timeUntilAvailable(clock.now()) })
        return synchronized(this) { sender.nextBatch(suspects, cursor, clock.now()) }
    }

    /** Returns the crash reports to send to another node, encoded as gossip entries. */
    override fun outgoing(): List<JsonElement> =
        synchronized(this) { suspects.activeReports(clock.now()) }.takeLast(MAXIMUM_GOSSIP_REPORTS).map { Json.encodeToJsonElement(it) }

    /** Applies crash reports received by gossip. Malformed entries are ignored. */
    override fun incoming(entries: List<JsonElement>) {
        for (element in entries.take(MAXIMUM_GOSSIP_REPORTS)) {
            try {
                merge(Json.decodeFromJsonElement<CrashReport>(element), "gossip", clock.now())
            } catch (_: SerializationException) {
                continue
            } catch (_: IllegalArgumentException) {
                continue
            }
        }
    }

    @Synchronized
    private fun <T> change(change: () -> T): T = change().also { latestChange.value = suspects.latestChange }

    private companion object {
        const val MAXIMUM_GOSSIP_REPORTS = 32
    }
}
