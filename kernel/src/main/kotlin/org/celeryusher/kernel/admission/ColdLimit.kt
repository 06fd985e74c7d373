package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The limit on the starts of calls on a backend server that is cold, at its guard. Addresses load on servers that have just started.
 *
 * While the server is cold, a token bucket with a small burst lets [ColdPolicy.callsPerSecond] start, and no more than
 * [ColdPolicy.maximumInOneSecond] start in any one second, counting those from before it was known to be cold. Afterwards the rate doubles
 * repeatedly, since the guard's idea of the end may be early. All calls to a server pass its guard, so the limit holds for all proxies.
 *
 * The state is unknown when the guard or a process of the server starts and when the server refuses a connection. An unknown state counts
 * as cold for the whole cold start, unless the server itself states in a health answer what is left of it. An entry of the list may be
 * older than what the guard knows, so it extends the cold time, and shortens only what an entry stated, when nothing has extended it for a
 * while. What the server itself stated is kept apart: a slow store may delay an entry longer than any fixed time.
 */
public class ColdLimit(
    now: Moment,
) {
    private var policy: ColdPolicy? = null
    private var isFirstPolicy = true
    private var recent = RecentStarts(1)
    private val unanswered = UnansweredStarts()
    private var tokens = 0.0
    private var lastEventAt = now
    private val time = ColdTime(now)
    private val inquiry = ColdInquiry()
    private var turnedCold = 0L

    /** Whether the service of the server has a limit. */
    public val hasLimit: Boolean get() = policy != null

    /** When the latest request was sent in whose answer the server stated how long it stays cold, or [Moment.DISTANT_PAST]. */
    public var statedAt: Moment = Moment.DISTANT_PAST
        private set

    /**
     * Applies [changed], which is null for a service without a limit. Returns whether it differs from the previous one.
     *
     * The state is unknown from the first call on, however long ago the guard started.
     */
    public fun changePolicy(
        changed: ColdPolicy?,
        now: Moment,
    ): Boolean {
        // Without a policy nothing reaches the guard that could tell the state: neither calls nor health answers, nor another process.
        if (isFirstPolicy) stateLost(now)
        isFirstPolicy = false
        if (changed == policy) return false
        val before = policy
        policy = changed
        if (changed == null) return true
        recent = recent.resized(changed.maximumInOneSecond)
        tokens = if (before == null) 0.0 else minOf(tokens, burst(changed, changed.callsPerSecond))
        lastEventAt = now
        return true
    }

    /** Records that nothing is known about the server from [now] on: it refuses connections, or another process of it runs. */
    public fun stateLost(now: Moment) {
        unanswered.forgetAbandoned()
        extend(now) { time.lost(now) }
    }

    /** Records that the connection to the server was lost, which may be the end of its process. */
    public fun connectionLost(): Unit = inquiry.askSoon()

    /** Records that the process was paused, in which the server may have become cold. */
    public fun resumed(): Unit = inquiry.askSoon()

    /** Records that an entry of the list, written before [now], stated that the server is cold for [remaining]. */
    public fun entryStated(
        remaining: Duration,
        now: Moment,
    ) {
        when {
            time.isLate(remaining, policy, now) -> inquiry.askSoon()
            time.isExtendedBy(remaining, now) -> extend(now) { time.extendByEntry(now + remaining) }
            else -> time.shortenByEntry(now + remaining, now)
        }
    }

    /** Records that the server answered a request sent at [sentAt] that it is cold for [remaining]. */
    public fun serverStated(
        remaining: Duration,
        sentAt: Moment,
        now: Moment,
    ) {
        answered(sentAt, now)
        statedAt = maxOf(statedAt, sentAt)
        if (time.isOutdated(sentAt)) return
        if (time.isExtendedBy(remaining, now)) {
            extend(now) { time.takeFromServer(remaining, sentAt, policy, now) }
        } else {
            time.takeFromServer(remaining, sentAt, policy, now)
        }
    }

    /** Records that a request for the state got no answer, so that it must be repeated. */
    public fun askingFailed(now: Moment): Unit = inquiry.failed(now)

    /** Returns the calls a second that may start at [now], or null if there is no limit. */
    public fun perSecond(now: Moment): Double? {
        val policy = policy ?: return null
        val warmFor = now - time.endsAt(policy)
        return when {
            warmFor < Duration.ZERO -> policy.callsPerSecond
            warmFor < WARMING -> policy.callsPerSecond * 2.0.pow(DOUBLINGS * (warmFor / WARMING))
            else -> null
        }
    }

    /** Returns the number of calls that may start at [now], or null if there is no limit. */
    public fun permits(now: Moment): Int? {
        val policy = policy ?: return null
        val rate = perSecond(now) ?: return null
        if (time.isCold(policy, now) && now < windowOpensAt(policy, 1, now)) return 0
        return (tokensAt(policy, rate, now) + ROUNDING).toInt()
    }

    /** Returns when [calls] more calls may have started, or [now] if there is no limit. */
    public fun permittedAt(
        calls: Int,
        now: Moment,
    ): Moment {
        val policy = policy ?: return now
        val rate = perSecond(now) ?: return now
        val missing = calls - tokensAt(policy, rate, now)
        val byRate = if (missing <= ROUNDING) now else now + 1.seconds * (missing / rate)
        val byWindow = if (time.isCold(policy, now)) windowOpensAt(policy, calls, now) else now
        return maxOf(now, minOf(maxOf(byRate, byWindow), time.endsAt(policy) + WARMING))
    }

    /** Counts the start of a call. */
    public fun take(now: Moment) {
        val policy = policy ?: return
        recent.record(now)
        unanswered.started(now)
        val rate = perSecond(now) ?: return
        tokens = tokensAt(policy, rate, now) - 1.0
        lastEventAt = now
    }

    /** Records the end of the call started at [startedAt]. One that was started long ago may have reached the server only just now. */
    public fun ended(
        startedAt: Moment,
        now: Moment,
    ) {
        unanswered.ended(startedAt)
        if (policy != null && startedAt <= now - WINDOW) recent.record(now)
    }

    /** Records that the guard gave up the call started at [startedAt] without an answer. The server may receive it nevertheless. */
    public fun abandoned(startedAt: Moment) {
        policy?.let { unanswered.abandoned(startedAt, it.maximumInOneSecond) }
    }

    /** Records that the server answered a request sent at [sentAt], so that it has received what was sent before. */
    public fun answered(
        sentAt: Moment,
        now: Moment,
    ) {
        repeat(unanswered.received(sentAt)) { recent.record(now) }
    }

    /** Takes back the start of a call that the server did not count, since it was meant for another one. */
    public fun giveBack() {
        tokens += 1.0
    }

    /**
     * Returns whether asking the server for its state is worth a request at [now], and if so counts it as asked.
     *
     * It is while the state is unknown, and while so many calls start that a server that became cold unnoticed would be in danger.
     */
    public fun shouldAsk(now: Moment): Boolean {
        val policy = policy ?: return false
        val isBusy = !time.isCold(policy, now) && now - recent.startBefore((recent.capacity + 1) / 2) < WINDOW
        val busyInterval = now - recent.startBefore(recent.capacity / 3)
        return inquiry.shouldAsk(time.isUnknown(policy, now), isBusy, busyInterval, now)
    }

    /** Returns what is known at [now]. */
    public fun status(now: Moment): ColdStatus = ColdStatus(stateAt(now), perSecond(now), turnedCold)

    private fun stateAt(now: Moment): ColdState {
        val policy = policy ?: return ColdState.UNLIMITED
        return when {
            !time.isCold(policy, now) -> if (perSecond(now) == null) ColdState.WARM else ColdState.WARMING
            time.isOnlyUnknown(now) -> ColdState.UNKNOWN
            else -> ColdState.COLD
        }
    }

    private inline fun extend(
        now: Moment,
        change: () -> Unit,
    ) {
        val wasCold = policy?.let { time.isCold(it, now) } ?: true
        change()
        time.extended(now)
        if (wasCold) return
        // The calls of the last second count against the bound; the bucket starts empty. The server itself knows best what is left.
        turnedCold++
        inquiry.askSoon()
        tokens = 0.0
        lastEventAt = now
    }

    // Calls without an answer from before the window may all reach the server at once when it resumes.
    private fun windowOpensAt(
        policy: ColdPolicy,
        calls: Int,
        now: Moment,
    ): Moment {
        val limit = policy.maximumInOneSecond - unanswered.startedBy(now - WINDOW)
        if (limit <= 0) return now + WINDOW
        return recent.startBefore(limit - calls.coerceAtMost(limit) + 1) + WINDOW
    }

    private fun tokensAt(
        policy: ColdPolicy,
        rate: Double,
        now: Moment,
    ): Double = minOf(tokens + (now - lastEventAt).coerceAtLeast(Duration.ZERO) / 1.seconds * rate, burst(policy, rate))

    // The burst stays below what the bound leaves beyond the rate, so that the rate and not the bound decides.
    private fun burst(
        policy: ColdPolicy,
        rate: Double,
    ): Double {
        val spare = (policy.maximumInOneSecond - policy.callsPerSecond) * SPARE_SHARE
        return maxOf(1.0, minOf(rate * BURST_SECONDS, spare))
    }

    private companion object {
        /** The time over which unused calls are kept while the server is cold. */
        const val BURST_SECONDS = 0.25

        /** The share of the bound beyond the rate that a burst may use; the rest covers calls that arrive together after a delay. */
        const val SPARE_SHARE = 0.5

        /** How often the rate doubles while the server warms up: it rises to 16 times the rate of a cold one. */
        const val DOUBLINGS = 4
        val WARMING = 1.seconds

        /** One second, and the time by which calls may be closer together at the server than they were at the guard. */
        val WINDOW = 1_050.milliseconds

        /** Keeps a permit from being missed that is due at this nanosecond. */
        const val ROUNDING = 1e-6
    }
}
