package org.celeryusher.kernel.execution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** How a request may run, by what is known of requests with its fingerprint. */
public sealed interface CrashVerdict {
    /** Like any other. */
    public data object RunNormally : CrashVerdict

    /** Only while its backend server runs nothing else, because a server that ran it stopped. */
    public data object RunAlone : CrashVerdict

    /** Not at all for [remaining]: it stopped backend servers repeatedly. */
    public data class Quarantined(
        public val remaining: Duration,
    ) : CrashVerdict
}

/** What nodes tell each other of a request that stopped backend servers: with one crash it is a suspect, with more it is quarantined. */
@Serializable
public data class QuarantineNews(
    public val fingerprint: RequestFingerprint,
    public val remainingMilliseconds: Long,
    public val crashes: Int,
)

/**
 * What a node knows of requests that were running when backend servers stopped.
 *
 * After a crash each running request is a suspect and runs alone from then on; one that completes is cleared. A suspect is quarantined by a
 * second crash that can only be its work: it ran alone, or it was the only suspect that ran. When several suspects run as a server
 * stops, all of them stay suspects. Requests are known by fingerprint, so a caller that sends one again does not get around it.
 *
 * Holds [maximumEntries] at most: suspects give way to new ones, then the quarantine that ends first.
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

    /** The number of fingerprints that are remembered. */
    public val size: Int get() = entries.size

    /** Decides how a request with [fingerprint] may run. */
    public fun verdict(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): CrashVerdict {
        val entry = entries[fingerprint]
        return when {
            entry == null || !entry.isActive(now) -> CrashVerdict.RunNormally
            entry.crashes >= CRASHES_TO_QUARANTINE -> CrashVerdict.Quarantined(entry.until - now)
            else -> CrashVerdict.RunAlone
        }
    }

    /**
     * Records that a backend server stopped while the requests in [running] ran on it; returns the news to spread.
     *
     * Call it with the requests that one node passed on to that server; a proxy that only knows of its own calls through a broken connection
     * must not claim that they ran alone.
     */
    public fun crashed(
        running: Set<RequestFingerprint>,
        knownToBeAll: Boolean,
        quarantine: Duration,
        now: Moment,
    ): List<QuarantineNews> {
        forgetOld(now)
        val suspects = running.filter { entries[it]?.isActive(now) == true }
        val culprit = suspects.singleOrNull().takeIf { knownToBeAll }
        running.forEach { fingerprint ->
            if (fingerprint == culprit) {
                put(fingerprint, crashes = (entries.getValue(fingerprint).crashes + 1), until = now + quarantine)
            } else {
                suspect(fingerprint, now)
            }
        }
        makeRoom()
        return news(now).filter { it.fingerprint in running }
    }

    /** Records that a request with [fingerprint] completed without stopping its backend server: a suspect is cleared. */
    public fun completed(
        fingerprint: RequestFingerprint,
        now: Moment,
    ) {
        val entry = entries[fingerprint] ?: return
        if (entry.isActive(now) && entry.crashes < CRASHES_TO_QUARANTINE) entry.cleared = true
    }

    /**
     * Takes in what another node has sent; returns whether it changed anything here, so that it is worth spreading on.
     *
     * News of as many crashes as are known here changes nothing: the end that was heard first holds, so that relaying never prolongs it,
     * and neither a cleared nor an ended entry comes back.
     */
    public fun merge(
        news: QuarantineNews,
        now: Moment,
    ): Boolean {
        forgetOld(now)
        val known = entries[news.fingerprint]
        if (news.remainingMilliseconds <= 0 || news.crashes < 1) return false
        if (known != null && known.crashes >= news.crashes) return false
        put(news.fingerprint, news.crashes, now + minOf(news.remainingMilliseconds.milliseconds, MAXIMUM_QUARANTINE))
        makeRoom()
        return true
    }

    /** Returns what is worth telling another node at [now]. */
    public fun news(now: Moment): List<QuarantineNews> =
        entries
            .filterValues { it.isActive(now) }
            .map { (fingerprint, entry) -> QuarantineNews(fingerprint, (entry.until - now).inWholeMilliseconds, entry.crashes) }

    private fun Entry.isActive(now: Moment): Boolean = !cleared && now < until

    private fun suspect(
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

    private fun forgetOld(now: Moment) {
        entries.values.removeIf { now >= it.until + MEMORY_AFTER_END }
    }

    private fun makeRoom() {
        while (entries.size > maximumEntries) {
            val oldestSuspect = entries.entries.firstOrNull { it.value.crashes < CRASHES_TO_QUARANTINE }
            val leaving = oldestSuspect ?: entries.entries.minBy { it.value.until }
            entries -= leaving.key
        }
    }

    private companion object {
        private const val CRASHES_TO_QUARANTINE = 2
        private const val DEFAULT_MAXIMUM_ENTRIES = 4_096
        private val DEFAULT_SUSPICION = 10.minutes
        private val MAXIMUM_QUARANTINE = 1_440.minutes

        /** Outlasts the news that is still on its way, so that it does not bring an ended entry back. */
        private val MEMORY_AFTER_END = 30.seconds
    }
}
