package org.celeryusher.kernel.admission

import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What an entry node knows of a service that runs of other services call: the share of its calls that is served in time, and the share of the load that is admitted.
 *
 * The admitted share follows the share of calls that are served in time. It falls while that is below [TARGET] and rises while it is
 * above, so that it settles where a few calls in a hundred find no capacity: those are the probes that show a recovery. Its steps are small
 * enough for the delay with which the served share follows, so that it does not oscillate. Without fresh data it rises to 1.
 */
internal class CalledService {
    private class Participant {
        var rankPosition = 0
        var nestedCallsPerRun = 0.0
        var nestedReportAt = Moment.DISTANT_PAST
        var isDirect = false
        val requests = DecayedCount(demandTimeConstant)
        val returned = DecayedCount(demandTimeConstant)

        fun callsPerRun(now: Moment): Double =
            (if (isDirect) 1.0 else 0.0) + (if (now - nestedReportAt <= reportLifetime) nestedCallsPerRun else 0.0)
    }

    private val participants = LinkedHashMap<RouteName, Participant>()
    private val ofRuns = ServedCalls()
    private val ofCallers = ServedCalls()
    private var updatesWithoutFailure = 0
    private var evidenceAt = Moment.DISTANT_PAST
    private var updatedAt = Moment.DISTANT_PAST

    /** The share of the load, in calls to this service, that is admitted. */
    var admittedShare = 1.0
        private set

    /** Returns the share of recent calls that were served in time: those of runs or those of callers, whichever is lower. */
    fun servedShare(): Double = minOf(ofRuns.servedShare(), ofCallers.servedShare())

    /** Returns whether nothing was heard of this service for so long that it may be forgotten. */
    fun isForgotten(now: Moment): Boolean = now - evidenceAt > reportLifetime

    /** Records a report on the calls that runs make to this service. */
    fun recordReport(
        load: RunLoad,
        now: Moment,
    ) {
        val participant = participantOf(load.route)
        participant.nestedCallsPerRun = load.callsPerHundredRuns / 100.0
        participant.nestedReportAt = now
        evidenceAt = now
        if (load.recentCalls == 0) return
        val endsOutage = ofRuns.add(load.recentCalls.toDouble(), load.servedPercent / 100.0, now)
        if (endsOutage) admittedShare = maxOf(admittedShare, SHARE_AFTER_OUTAGE)
    }

    /** Records the result of a caller's own request to this service. It is no sign that runs still call it. */
    fun recordResult(
        isServed: Boolean,
        now: Moment,
    ) {
        if (ofCallers.add(1.0, if (isServed) 1.0 else 0.0, now)) admittedShare = maxOf(admittedShare, SHARE_AFTER_OUTAGE)
    }

    /** Counts [request] as demand, and returns whether its run needs this service. */
    fun recordRequest(
        request: RunRequest,
        isDirect: Boolean,
        now: Moment,
    ): Boolean {
        if (!isDirect && request.route !in participants) return false
        val participant = participantOf(request.route)
        participant.rankPosition = request.rankPosition
        participant.isDirect = isDirect
        participant.requests.add(1.0, now)
        if (request.origin == CallOrigin.RETURNED) participant.returned.add(1.0, now)
        return participant.callsPerRun(now) > 0.0
    }

    /** Adapts the admitted share, at most once in each [updateInterval]. */
    fun update(now: Moment) {
        if (now - evidenceAt > staleAfter) admittedShare = 1.0
        if (now - updatedAt < updateInterval) return
        updatedAt = now
        val (ready, waiting) = listOf(ofRuns, ofCallers).partition { it.isReady }
        val hasFailuresWaiting = waiting.any { it.hasNewFailures(now) }
        waiting.forEach { it.discardOldFailures(now) }
        if (ready.isEmpty()) {
            if (!hasFailuresWaiting) changeBy(GROWTH_WITHOUT_EVIDENCE)
            return
        }
        val factor = factorFor(ready.minOf { it.servedShare() })
        // Rare calls that failed must not be outweighed by frequent ones of the other kind before there are enough of them to be used.
        if (factor < 1.0 || !hasFailuresWaiting) changeBy(factor)
        ready.forEach { it.markUsed() }
    }

    private fun changeBy(factor: Double) {
        admittedShare = (admittedShare * factor).coerceIn(MINIMUM_SHARE, 1.0)
    }

    /**
     * Returns the share of the requests on [route] that is admitted: all routes get a floor, and the rest goes to the most urgent first.
     *
     * [meanShare] is the share of all requests at this node that is admitted. Routes of equal rank get equal shares. A route that makes a
     * negligible part of the calls gets 1: refusing it would spare the service nothing.
     */
    fun shareOf(
        route: RouteName,
        meanShare: Double,
        now: Moment,
    ): Double {
        if (admittedShare >= 1.0 || isNegligible(route, now)) return 1.0
        val demands = participants.values.groupBy { it.rankPosition }.mapValues { (_, group) -> group.sumOf { demandOf(it, now) } }
        val floor = minOf(FLOOR_OF_MEAN * meanShare, MAXIMUM_FLOOR_OF_SHARE * admittedShare)
        var left = (admittedShare - floor) * demands.values.sum()
        val position = participants.getValue(route).rankPosition
        for ((rank, demand) in demands.toSortedMap()) {
            val granted = minOf(left, (1.0 - floor) * demand)
            if (rank == position) return if (demand > 0.0) floor + granted / demand else 1.0
            left -= granted
        }
        return 1.0
    }

    /**
     * Returns the probability with which a request on [route] is admitted, so that [share] of all of them are.
     *
     * A request that returns after its `Retry-After` is refused half as often as a new one, at the cost of the new ones of its route. If so
     * many return that they alone use up the share, new ones are refused, and returned ones share it.
     */
    fun probabilityOf(
        route: RouteName,
        isReturned: Boolean,
        share: Double,
        now: Moment,
    ): Double {
        val participant = participants[route] ?: return share
        val all = participant.requests.at(now)
        if (all <= 0.0) return share
        val returnedPart = (participant.returned.at(now) / all).coerceIn(0.0, 1.0)
        val ofNew = (share - returnedPart * PREFERENCE_OF_RETURNED) / (1.0 - returnedPart * PREFERENCE_OF_RETURNED)
        return when {
            ofNew < 0.0 -> if (isReturned) share / returnedPart else 0.0
            isReturned -> ofNew + (1.0 - ofNew) * PREFERENCE_OF_RETURNED
            else -> ofNew
        }
    }

    /** Returns the time in which one request on [route] is admitted at this node, if [share] of them are. */
    fun timeToNextAdmission(
        route: RouteName,
        share: Double,
        now: Moment,
    ): Duration {
        val requests = participants[route]?.requests?.at(now) ?: return longestRetryAfter
        if (requests * share <= 0.0) return longestRetryAfter
        return minOf(demandTimeConstant / (requests * share), longestRetryAfter)
    }

    private fun participantOf(route: RouteName): Participant {
        if (participants.size >= MAXIMUM_ROUTES && route !in participants) participants.remove(participants.keys.first())
        return participants.getOrPut(route, ::Participant)
    }

    /** Returns whether [route] makes few of the calls to this service, and so few that all routes with no more calls together make few. */
    private fun isNegligible(
        route: RouteName,
        now: Moment,
    ): Boolean {
        val demands = participants.values.map { demandOf(it, now) }
        val own = demandOf(participants.getValue(route), now)
        val total = demands.sum()
        return own <= NEGLIGIBLE_PART * total && demands.filter { it <= own }.sum() <= NEGLIGIBLE_PART_OF_ALL * total
    }

    private fun demandOf(
        participant: Participant,
        now: Moment,
    ): Double = participant.requests.at(now) * participant.callsPerRun(now)

    private fun factorFor(served: Double): Double {
        updatesWithoutFailure = if (served >= ServedCalls.ALL_SERVED) updatesWithoutFailure + 1 else 0
        return when {
            updatesWithoutFailure > 0 -> minOf(1.0 + GROWTH * updatesWithoutFailure, MAXIMUM_GROWTH)
            served >= TARGET -> 1.0 + GROWTH * (served - TARGET) / (1.0 - TARGET)
            else -> (served / TARGET).pow(DAMPING).coerceAtLeast(MAXIMUM_DECREASE)
        }
    }

    private companion object {
        val updateInterval = 500.milliseconds

        val demandTimeConstant = 5.seconds

        /** Without a report for so long everything is admitted. The share has risen on its own until then. */
        val staleAfter = 5.seconds

        /** Calls per run follow from the code of the server, and the estimate itself covers 30 to 60 seconds. */
        val reportLifetime = 60.seconds
        val longestRetryAfter = 5.seconds

        /** The share of calls served in time at which the admitted share stays. */
        const val TARGET = 0.97

        /** The result of a change shows after two or three updates; their product is about the change that was needed. */
        const val DAMPING = 0.4
        const val MAXIMUM_DECREASE = 0.4

        /** The share grows faster with each update without failures, so that a service that was down is used again within seconds. */
        const val GROWTH = 0.25
        const val MAXIMUM_GROWTH = 2.0
        const val GROWTH_WITHOUT_EVIDENCE = 1.3
        const val MINIMUM_SHARE = 0.1

        /** Half, so that a service that comes back with part of its servers is not flooded. The share rises to 1 within two seconds. */
        const val SHARE_AFTER_OUTAGE = 0.5

        /** At most as much of the load as the steps of the admitted share, so that not refusing it changes nothing for the others. */
        const val NEGLIGIBLE_PART = 0.01

        /** The calls in a hundred that find no capacity in any case, see [TARGET]. */
        const val NEGLIGIBLE_PART_OF_ALL = 0.03

        /** Somewhat more than the quarter of the mean that each route is promised. */
        const val FLOOR_OF_MEAN = 0.3
        const val MAXIMUM_FLOOR_OF_SHARE = 0.8

        /** The part of the refusals that a request is spared when it returns after its `Retry-After`. */
        const val PREFERENCE_OF_RETURNED = 0.5
        const val MAXIMUM_ROUTES = 256
    }
}
