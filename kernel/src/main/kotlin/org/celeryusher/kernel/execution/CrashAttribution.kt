package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** A crash that is known to a node, as far as nodes have reported it. */
internal class RecordedCrash(
    val id: CrashId,
    val at: Moment,
    var quarantine: Duration,
    var isComplete: Boolean,
    var changeNumber: Long = 0,
) {
    /** The requests that were running, with whether each is cleared. */
    val suspects = LinkedHashMap<RequestFingerprint, Boolean>()

    /** Returns whether the crash counts at [now], where a suspicion lasts for [suspicion]. */
    fun isActive(
        suspicion: Duration,
        now: Moment,
    ): Boolean = now < at + suspicion + quarantine
}

/** Decides which requests can have caused the crashes that are recorded. Not thread-safe. */
internal class CrashAttribution(
    private val limits: CrashLimits,
) {
    private val crashesByRequest = HashMap<RequestFingerprint, MutableList<RecordedCrash>>()

    /** The requests that were running in a recorded crash. */
    val requests: Set<RequestFingerprint> get() = crashesByRequest.keys

    /** Adds that a request with [fingerprint] was running in [crash]. */
    fun add(
        fingerprint: RequestFingerprint,
        crash: RecordedCrash,
    ) {
        crashesByRequest.getOrPut(fingerprint, ::ArrayList) += crash
    }

    /** Removes [crash]. */
    fun remove(crash: RecordedCrash) {
        for (fingerprint in crash.suspects.keys) {
            val remaining = crashesByRequest[fingerprint] ?: continue
            remaining -= crash
            if (remaining.isEmpty()) crashesByRequest -= fingerprint
        }
    }

    /** Returns the crashes that count at [now] in which a request with [fingerprint] was running. */
    fun activeCrashes(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): List<RecordedCrash> = crashesByRequest[fingerprint].orEmpty().filter { it.isActive(limits.suspicion, now) }

    /** Returns the crashes that count at [now] and of which a request with [fingerprint] is not cleared. */
    fun countedCrashes(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): List<RecordedCrash> {
        val all = crashesByRequest[fingerprint] ?: return emptyList()
        return all.filter { it.suspects[fingerprint] == false && it.isActive(limits.suspicion, now) }
    }

    /** Returns whether a request with [fingerprint] is a suspect of as many crashes as a quarantine takes. */
    fun isRepeated(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Boolean = countedCrashes(fingerprint, now).size >= CRASHES_TO_QUARANTINE

    /** Returns whether a request with [fingerprint] is taken for the cause of crashes. */
    fun isCulprit(
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Boolean {
        val counted = countedCrashes(fingerprint, now)
        if (counted.size < CRASHES_TO_QUARANTINE) return false
        val attributable = counted.filter { isAttributableTo(it, fingerprint, now) }
        return attributable.any { it.isComplete } ||
            (counted.size > CRASHES_TO_QUARANTINE && attributable.size >= CRASHES_TO_QUARANTINE)
    }

    /** Returns whether another request that was running in [crash] than that with [fingerprint] is taken for its cause. */
    fun isExplainedByOther(
        crash: RecordedCrash,
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Boolean = crash.suspects.any { (other, cleared) -> other != fingerprint && !cleared && isCulprit(other, now) }

    /** Returns whether no other request that was running in [crash] is a suspect of as many crashes as a quarantine takes. */
    private fun isAttributableTo(
        crash: RecordedCrash,
        fingerprint: RequestFingerprint,
        now: Moment,
    ): Boolean = crash.suspects.none { (other, cleared) -> other != fingerprint && !cleared && isRepeated(other, now) }

    private companion object {
        const val CRASHES_TO_QUARANTINE = 2
    }
}
