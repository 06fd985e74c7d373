package org.celeryusher.kernel.routing

import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The decision of a proxy about a call, before it is sent to a guard, the admission control in front of a backend server. */
public sealed interface ThrottleDecision {
    /** The call is sent. */
    public data object Pass : ThrottleDecision

    /** The call is sent although its rank is being throttled, so that the guaranteed share is used and a recovery is detected. */
    public data object Probe : ThrottleDecision

    /** The proxy refuses the call with [org.celeryusher.kernel.error.ErrorKind.OVERLOADED], currently with this [probability]. */
    public data class Refuse(
        public val probability: Double,
    ) : ThrottleDecision
}

/**
 * Client-side throttle of a proxy, which refuses calls that the guards would refuse anyway.
 *
 * Implements adaptive throttling as described in "Handling Overload" (Site Reliability Engineering, chapter 21). Per service and rank, a
 * call is refused with probability `max(0, (requests - K * accepts) / (requests + 1))` over a sliding window, where K is [multiplier].
 * Calls pass while the window contains no refusal, so that normal service resumes one window after a flood. A rank may always send its
 * guaranteed share of the calls that the service accepts from this node, and at least one call in each bucket of the window. A call that
 * was sent counts as a request once it has ended, so that slow calls in flight are not counted as refused. Not thread-safe.
 */
public class AdaptiveThrottle(
    private val multiplier: Double = DEFAULT_MULTIPLIER,
    private val window: Duration = DEFAULT_WINDOW,
) {
    private data class Key(
        val service: ServiceName,
        val rank: RankName,
    )

    private val windows = HashMap<Key, SlidingWindowCounters>()

    /** Returns the decision about a call of [rank] to [service]; [guaranteedShare] is the guaranteed share of the rank, from 0 to 1. */
    public fun decide(
        service: ServiceName,
        rank: RankName,
        guaranteedShare: Double,
        now: Moment,
        random: Random,
    ): ThrottleDecision {
        val counts = countsOf(Key(service, rank)).also { it.advance(now) }
        val probability = refusalProbability(counts)
        val isRefused = random.nextDouble() < probability
        val decision =
            when {
                !isRefused -> ThrottleDecision.Pass
                isBelowGuarantee(counts, service, guaranteedShare, now) -> ThrottleDecision.Probe
                else -> ThrottleDecision.Refuse(probability)
            }
        if (decision is ThrottleDecision.Refuse) counts.recordRequest() else counts.recordSent()
        return decision
    }

    /** Records the end of a call that was sent. [accepted] is false when it was refused because of load. */
    public fun recordResult(
        service: ServiceName,
        rank: RankName,
        accepted: Boolean,
        now: Moment,
    ) {
        val counts = countsOf(Key(service, rank)).also { it.advance(now) }
        counts.recordAnswer(accepted)
    }

    /** Returns the probability with which a call of [rank] to [service] is refused at [now], without counting a call. */
    public fun probability(
        service: ServiceName,
        rank: RankName,
        now: Moment,
    ): Double = windows[Key(service, rank)]?.let { counts -> counts.advance(now).let { refusalProbability(counts) } } ?: 0.0

    /** Returns whether the guards have refused a call of any rank, to any service, within the window that ends at [now]. */
    public fun hasRefusals(now: Moment): Boolean = windows.values.any { counts -> counts.advance(now).let { counts.refusals > 0 } }

    private fun refusalProbability(counts: SlidingWindowCounters): Double =
        if (counts.refusals == 0) 0.0 else ((counts.requests - multiplier * counts.accepts) / (counts.requests + 1)).coerceAtLeast(0.0)

    private fun isBelowGuarantee(
        counts: SlidingWindowCounters,
        service: ServiceName,
        guaranteedShare: Double,
        now: Moment,
    ): Boolean {
        if (counts.sentInCurrentBucket == 0) return true
        val acceptedByService =
            windows.filterKeys { it.service == service }.values.sumOf { it.also { other -> other.advance(now) }.accepts }
        return counts.sentCalls < guaranteedShare * acceptedByService
    }

    private fun countsOf(key: Key): SlidingWindowCounters =
        windows.getOrPut(key) { SlidingWindowCounters(window / WINDOW_BUCKETS, WINDOW_BUCKETS) }

    private companion object {
        private const val DEFAULT_MULTIPLIER = 1.5
        private const val WINDOW_BUCKETS = 10

        /** Normal service resumes one window after a flood, and callers of the fastest routes wait no longer than this in total. */
        private val DEFAULT_WINDOW = 500.milliseconds
    }
}
