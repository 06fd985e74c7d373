package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when one node reads from the platform, so that only a few nodes read and others take over from failed readers.
 *
 * It needs no leader election and no messages of its own. Rendezvous hashing orders the live instances of each data centre. The first one
 * reads continuously. The one at position r reads once the latest platform answer that gossip reports is older than base + r × step.
 * After a failure, a node backs off with jitter, for longer in a larger fleet. The caller polls [decide], acts on the decision and reports
 * the result by [succeeded] or [failed]. Not thread-safe: the caller synchronizes.
 */
public class ReaderSchedule(
    private val subject: ReadSubject,
    private val own: Member,
    private val settings: ReaderSettings,
    private val startedAt: Moment,
    random: Random,
) {
    private var notBefore = startedAt + settings.startSpread * random.nextDouble()
    private var failures = 0
    private var lastFailure = Moment.DISTANT_PAST
    private var cachedPosition: Pair<MembershipView, Int>? = null

    /**
     * Returns whether to read at [now], and if not, when to decide again.
     *
     * A read after a failure asks for an immediate answer, so that the end of an outage is noticed without waiting for a long poll.
     * [sourceAge] is the age of the latest known platform answer to any node, or null when none is known.
     */
    public fun decide(
        view: MembershipView,
        sourceAge: Duration?,
        now: Moment,
    ): ReadDecision {
        val position = position(view)
        val confirmedAt = sourceAge?.let { now - it }
        if (position == 0) endBackoffAfterConfirmation(confirmedAt)
        val due = maxOf(notBefore, if (position == 0) startedAt else takeoverAt(position, confirmedAt))
        return if (now >= due) ReadDecision.Read(if (failures == 0) settings.watchWait else Duration.ZERO) else ReadDecision.WaitUntil(due)
    }

    /** Records that the platform answered a read at [now], with or without a change. */
    public fun succeeded(now: Moment) {
        failures = 0
        notBefore = now + settings.pause
    }

    /** Records that a read failed or was refused at [now]. [retryAfter] is the delay that the platform asked for. */
    public fun failed(
        now: Moment,
        view: MembershipView,
        random: Random,
        retryAfter: Duration = Duration.ZERO,
    ) {
        val isFleetSizeUncertain = view.members.size <= 1 || now < startedAt + settings.fleetDiscoveryTime
        val fleetSize = maxOf(view.members.size, if (isFleetSizeUncertain) settings.assumedFleetSize else 0)
        val longest = maxOf(settings.maximumBackoff, fleetBackoff(fleetSize))
        val shortest = maxOf(settings.initialBackoff, fleetBackoff(fleetSize) / INITIAL_BACKOFF_DIVISOR)
        val backoff = minOf(longest, shortest * (1 shl failures.coerceAtMost(MAXIMUM_DOUBLINGS)))
        notBefore = now + maxOf(retryAfter, backoff * random.nextDouble(MINIMUM_JITTER, MAXIMUM_JITTER))
        lastFailure = now
        failures++
    }

    /** Returns the position of this node in the reader order of its data centre, 0 for the first reader. */
    public fun position(view: MembershipView): Int {
        cachedPosition?.let { (cachedView, position) -> if (cachedView === view) return position }
        val live = view.members.filter { it.dataCentre == own.dataCentre && it.state == MemberState.LIVE }.map(Member::instance)
        val position = RendezvousOrder.position("$subject/${own.dataCentre}", own.instance, live)
        cachedPosition = view to position
        return position
    }

    private fun endBackoffAfterConfirmation(confirmedAt: Moment?) {
        if (failures > 0 && confirmedAt != null && confirmedAt > lastFailure) {
            failures = 0
            notBefore = minOf(notBefore, confirmedAt + settings.takeoverBase)
        }
    }

    private fun takeoverAt(
        position: Int,
        confirmedAt: Moment?,
    ): Moment = (confirmedAt ?: startedAt) + settings.takeoverBase + settings.takeoverStep * position

    private fun fleetBackoff(fleetSize: Int): Duration = fleetSize.seconds / settings.failingFleetCallsPerSecond

    private companion object {
        const val INITIAL_BACKOFF_DIVISOR = 2
        const val MAXIMUM_DOUBLINGS = 10
        const val MINIMUM_JITTER = 0.5
        const val MAXIMUM_JITTER = 1.5
    }
}
