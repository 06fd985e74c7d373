package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when one node reads the platform, so that few nodes do and that others take over, without election and without messages of its own.
 *
 * The live instances of each data centre have an order by rendezvous hashing. The first reads all the time; the one at position r reads
 * once the source's news, which all nodes pass on with its age, is older than base + r × step. After failures each node backs off, with
 * jitter, the longer the larger the fleet. The caller asks [decide], does as told, reports by [succeeded] or [failed], and synchronizes.
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
    private var knownPosition: Pair<MembershipView, Int>? = null

    /**
     * Returns whether to read at [now].
     *
     * A read after a failure is to be answered at once, so that the end of an outage is seen without the wait of a watch.
     * [sourceAge] is the age of the freshest news that the platform has answered anyone, or null when none has been heard.
     */
    public fun decide(
        view: MembershipView,
        sourceAge: Duration?,
        now: Moment,
    ): ReadDecision {
        val position = position(view)
        val confirmedAt = sourceAge?.let { now - it }
        if (position == 0) endBackOffAfterNews(confirmedAt)
        val due = maxOf(notBefore, if (position == 0) startedAt else takeoverAt(position, confirmedAt))
        return if (now >= due) ReadDecision.Read(if (failures == 0) settings.watchWait else Duration.ZERO) else ReadDecision.WaitUntil(due)
    }

    /** Takes in that a read was answered by the platform at [now], also when it had nothing new. */
    public fun succeeded(now: Moment) {
        failures = 0
        notBefore = now + settings.pause
    }

    /** Takes in that a read failed or was refused at [now]; [retryAfter] is the time that the platform's answer asked for. */
    public fun failed(
        now: Moment,
        view: MembershipView,
        random: Random,
        retryAfter: Duration = Duration.ZERO,
    ) {
        val unsure = view.members.size <= 1 || now < startedAt + settings.unsureOfFleetFor
        val fleetSize = maxOf(view.members.size, if (unsure) settings.assumedFleetSize else 0)
        val longest = maxOf(settings.maximumBackOff, fleetBackOff(fleetSize))
        val shortest = maxOf(settings.initialBackOff, fleetBackOff(fleetSize) / FIRST_BACK_OFF_DIVISOR)
        val backOff = minOf(longest, shortest * (1 shl failures.coerceAtMost(MAXIMUM_DOUBLINGS)))
        notBefore = now + maxOf(retryAfter, backOff * random.nextDouble(MINIMUM_JITTER, MAXIMUM_JITTER))
        lastFailure = now
        failures++
    }

    /** Returns the position of this node among the readers of its data centre, 0 for the first. */
    public fun position(view: MembershipView): Int {
        knownPosition?.let { (knownView, position) -> if (knownView === view) return position }
        val live = view.members.filter { it.dataCentre == own.dataCentre && it.state == MemberState.LIVE }.map(Member::instance)
        val position = RendezvousOrder.position("$subject/${own.dataCentre}", own.instance, live)
        knownPosition = view to position
        return position
    }

    private fun endBackOffAfterNews(confirmedAt: Moment?) {
        if (failures > 0 && confirmedAt != null && confirmedAt > lastFailure) {
            failures = 0
            notBefore = minOf(notBefore, confirmedAt + settings.takeoverBase)
        }
    }

    private fun takeoverAt(
        position: Int,
        confirmedAt: Moment?,
    ): Moment = (confirmedAt ?: startedAt) + settings.takeoverBase + settings.takeoverStep * position

    private fun fleetBackOff(fleetSize: Int): Duration = fleetSize.seconds / settings.failingFleetCallsPerSecond

    private companion object {
        const val FIRST_BACK_OFF_DIVISOR = 2
        const val MAXIMUM_DOUBLINGS = 10
        const val MINIMUM_JITTER = 0.5
        const val MAXIMUM_JITTER = 1.5
    }
}
