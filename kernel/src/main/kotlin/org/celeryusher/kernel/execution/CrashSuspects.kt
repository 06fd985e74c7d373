package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides from the crashes in the whole fleet which requests crash backend servers.
 *
 * The state is a set of crashes, each with the requests that were running. Nodes exchange it as [CrashReport]s and reach the same verdicts
 * from the same set:
 * - A request that was running in a crash is a suspect and runs exclusively.
 * - A completion clears it of the crashes so far, and of those that follow at once, on all nodes that are told. A request that is in
 *   flight in many crashes because it is frequent therefore stays served.
 * - A suspect of two crashes is quarantined when nothing else can have caused one of them: no other request that was running is a suspect
 *   of two. Crashes of which only a part is known take three, two of which it alone can have caused.
 * - A quarantined request explains its crashes, so the others that were running are no longer suspects.
 *
 * Requests are identified by fingerprint, so a caller cannot evade a quarantine by sending the same request again. When there are too many
 * crashes, the oldest one is evicted that is the only crash of each of its requests. Not thread-safe.
 */
public class CrashSuspects(
    private val limits: CrashLimits = CrashLimits(),
) {
    private val crashes = LinkedHashMap<CrashId, RecordedCrash>()
    private val attribution = CrashAttribution(limits)
    private val completions = RecentCompletions(limits.completionMemory, limits.maximumCompletions)

    /** The number of the latest change, by which other nodes ask for what is new to them. */
    public var latestChange: Long = 0
        private set

    /** The number of tracked crashes. */
    public val size: Int get() = crashes.size

    /**
     * Returns whether and how a request with [fingerprint] may run at [now].
     *
     * [isReported] states that another node takes it for a suspect.
     */
    public fun verdict(
        fingerprint: RequestFingerprint,
        now: Moment,
        isReported: Boolean = false,
    ): CrashVerdict {
        val counted = attribution.countedCrashes(fingerprint, now)
        return when {
            counted.isEmpty() ->
                if (isReported && !completions.contains(fingerprint, now)) CrashVerdict.RunExclusively else CrashVerdict.RunNormally
            attribution.isCulprit(fingerprint, now) -> {
                val remaining = counted.maxOf { it.at + it.quarantine } - now
                if (remaining.isPositive()) CrashVerdict.Quarantined(remaining) else CrashVerdict.RunNormally
            }
            counted.any {
                now < it.at + limits.suspicion &&
                    !attribution.isExplainedByOther(
                        it,
                        fingerprint,
                        now,
                    )
            } -> CrashVerdict.RunExclusively
            else -> CrashVerdict.RunNormally
        }
    }

    /**
     * Records the crash [id] while the requests in [running] were running, and returns its report.
     *
     * [isComplete] states that no other request was running. A request that causes crashes is refused for [quarantine].
     */
    public fun recordCrash(
        id: CrashId,
        running: Set<RequestFingerprint>,
        isComplete: Boolean,
        quarantine: Duration,
        now: Moment,
    ): CrashReport? {
        val report =
            CrashReport(
                id,
                0,
                quarantine.inWholeMilliseconds,
                isComplete && running.size <= limits.maximumSuspectsPerCrash,
                running.suspects(),
            )
        merge(report, now)
        return crashes[id]?.let { reportOf(it, now) }
    }

    /** Records that a request with [fingerprint] completed without a crash. Returns whether that cleared it of a crash. */
    public fun recordCompletion(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Boolean {
        completions.add(fingerprint, now)
        val counted = attribution.countedCrashes(fingerprint, now)
        if (counted.isEmpty() || attribution.isCulprit(fingerprint, now)) return false
        counted.forEach { crash ->
            crash.suspects[fingerprint] = true
            recordChange(crash)
        }
        return true
    }

    /** Applies [report] of another node, and returns its effect. */
    public fun merge(
        report: CrashReport,
        now: Moment,
    ): CrashReportEffect {
        evictExpired(now)
        if (!isAcceptable(report)) return CrashReportEffect.REFUSED
        val quarantine = minOf(report.quarantineMilliseconds.milliseconds, limits.maximumQuarantine)
        val known = crashes[report.id]
        val crash = known ?: RecordedCrash(report.id, now - report.ageMilliseconds.milliseconds, quarantine, report.isComplete)
        val isChanged = mergeSuspects(crash, report, now) or mergeExtent(crash, report, quarantine) or (known == null)
        if (!isChanged) return CrashReportEffect.UNCHANGED
        crashes[crash.id] = crash
        recordChange(crash)
        evictExcess(now)
        return CrashReportEffect.CHANGED
    }

    /** Returns the reports of all crashes that count at [now]. */
    public fun activeReports(now: Moment): List<CrashReport> =
        crashes.values.filter { it.isActive(limits.suspicion, now) }.map { reportOf(it, now) }

    /** Returns the report of the latest crash in which a request with [fingerprint] was running, or null if there is none. */
    public fun latestReport(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): CrashReport? = attribution.activeCrashes(fingerprint, now).maxByOrNull { it.at }?.let { reportOf(it, now) }

    /** Returns the requests that are quarantined at [now]. */
    public fun quarantined(now: Moment): Set<RequestFingerprint> =
        attribution.requests.filterTo(HashSet()) { verdict(it, now) is CrashVerdict.Quarantined }

    /**
     * Returns the reports of the changes after change number [cursor], at least one of them and then up to [maximumBytes].
     *
     * The cursor of the batch is lower than [latestChange] if some were left out.
     */
    public fun changesSince(
        cursor: Long,
        maximumBytes: Int,
        now: Moment,
    ): CrashReportBatch {
        if (cursor == latestChange) return CrashReportBatch(emptyList(), cursor)
        val from = if (cursor in 0..latestChange) cursor else 0
        val reports = ArrayList<CrashReport>()
        var reached = from
        var bytes = 0
        for (crash in crashes.values.filter { it.changeNumber > from && it.isActive(limits.suspicion, now) }.sortedBy { it.changeNumber }) {
            val report = reportOf(crash, now)
            bytes += report.estimatedBytes
            if (reports.isNotEmpty() && bytes > maximumBytes) return CrashReportBatch(reports, reached)
            reports += report
            reached = crash.changeNumber
        }
        return CrashReportBatch(reports, latestChange)
    }

    private fun isAcceptable(report: CrashReport): Boolean {
        val quarantine = report.quarantineMilliseconds
        return report.id.ordinal >= 0 &&
            quarantine >= 0 &&
            report.suspects.size in 1..limits.maximumSuspectsPerCrash &&
            report.ageMilliseconds >= 0 &&
            report.ageMilliseconds.milliseconds < limits.suspicion + minOf(quarantine.milliseconds, limits.maximumQuarantine)
    }

    private fun mergeSuspects(
        crash: RecordedCrash,
        report: CrashReport,
        now: Moment,
    ): Boolean {
        var isChanged = false
        for ((fingerprint, clearedThere) in report.suspects) {
            val known = crash.suspects[fingerprint]
            if (known == null && crash.suspects.size >= limits.maximumSuspectsPerCrash) continue
            val cleared = clearedThere || known == true || (known == null && completions.contains(fingerprint, now))
            if (cleared == known) continue
            crash.suspects[fingerprint] = cleared
            if (known == null) attribution.add(fingerprint, crash)
            isChanged = true
        }
        return isChanged
    }

    private fun mergeExtent(
        crash: RecordedCrash,
        report: CrashReport,
        quarantine: Duration,
    ): Boolean {
        val isExtended = (report.isComplete && !crash.isComplete) || quarantine > crash.quarantine
        crash.isComplete = crash.isComplete || report.isComplete
        crash.quarantine = maxOf(crash.quarantine, quarantine)
        return isExtended
    }

    private fun recordChange(crash: RecordedCrash) {
        latestChange += 1
        crash.changeNumber = latestChange
    }

    private fun reportOf(
        crash: RecordedCrash,
        now: Moment,
    ): CrashReport =
        CrashReport(
            id = crash.id,
            ageMilliseconds = (now - crash.at).inWholeMilliseconds.coerceAtLeast(0),
            quarantineMilliseconds = crash.quarantine.inWholeMilliseconds,
            isComplete = crash.isComplete,
            suspects = crash.suspects.map { (fingerprint, cleared) -> CrashSuspect(fingerprint, cleared) },
        )

    private fun Set<RequestFingerprint>.suspects(): List<CrashSuspect> = take(limits.maximumSuspectsPerCrash).map { CrashSuspect(it) }

    private fun evictExpired(now: Moment) {
        crashes.values.filter { now >= it.at + limits.suspicion + it.quarantine + limits.retentionAfterEnd }.forEach(::remove)
    }

    private fun evictExcess(now: Moment) {
        if (crashes.size <= limits.maximumCrashes) return
        val single =
            crashes.values.firstOrNull { crash ->
                crash.suspects.keys.all { !attribution.isRepeated(it, now) }
            }
        remove(single ?: crashes.values.first())
    }

    private fun remove(crash: RecordedCrash) {
        crashes -= crash.id
        attribution.remove(crash)
    }
}
