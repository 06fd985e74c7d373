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
import org.celeryusher.node.control.GossipExtras
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration

/** What this node knows of requests that stop backend servers; shared by its proxy, its guard and the gossip between nodes. */
public class CrashRegister(
    private val clock: ProcessClock,
    private val decisions: DecisionLog,
) : GossipExtras {
    private val suspects = CrashSuspects()

    /** Returns how a request with [fingerprint] may run. */
    @Synchronized
    public fun verdict(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): CrashVerdict = suspects.verdict(fingerprint, now)

    /** Records a crash while the requests in [running] ran; returns the news of it. */
    @Synchronized
    public fun recordCrash(
        running: Set<RequestFingerprint>,
        quarantine: Duration,
        now: Moment,
    ): List<QuarantineReport> {
        val news = suspects.recordCrash(running, isComplete = true, quarantine, now)
        decisions.decision("crash", "suspects run alone", "the backend server stopped", "requests" to running.size, "news" to news)
        return news
    }

    /** Records that a proxy saw one crash while a request with [fingerprint] ran elsewhere. */
    public fun suspect(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Unit = merge(QuarantineReport(fingerprint, SUSPICION_MILLISECONDS, crashes = 1), now)

    /** Records that a request with [fingerprint] completed. */
    @Synchronized
    public fun recordCompletion(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Unit = suspects.recordCompletion(fingerprint, now)

    /** Takes over [news] from another node. */
    @Synchronized
    public fun merge(
        news: QuarantineReport,
        now: Moment,
    ) {
        if (suspects.merge(news, now)) decisions.decision("quarantine", "taken over", "news from another node", "news" to news)
    }

    /** Returns the fingerprints that are refused at [now]. */
    @Synchronized
    public fun news(now: Moment): List<QuarantineReport> = suspects.activeReports(now)

    /** Returns what is worth telling another node, as gossip carries it. */
    override fun outgoing(): List<JsonElement> = news(clock.now()).take(MAXIMUM_NEWS).map { Json.encodeToJsonElement(it) }

    /** Takes over what gossip brought; malformed entries are ignored. */
    override fun incoming(news: List<JsonElement>) {
        for (element in news.take(MAXIMUM_NEWS)) {
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
        const val MAXIMUM_NEWS = 32
        const val SUSPICION_MILLISECONDS = 600_000L
    }
}
