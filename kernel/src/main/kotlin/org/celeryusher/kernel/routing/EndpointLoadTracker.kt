package org.celeryusher.kernel.routing

import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.admission.LinkSchedule
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment

/** Tracks the statistics of all endpoints at one node. Not thread-safe. */
public class EndpointLoadTracker {
    private val statistics = HashMap<InstanceName, EndpointStatistics>()
    private val averageExchangeBytes = HashMap<RouteName, Double>()
    private val averageAnswerBytes = HashMap<RouteName, Double>()

    /** Returns the statistics of [instance], empty ones for an unknown endpoint. */
    public operator fun get(instance: InstanceName): EndpointStatistics = statistics[instance] ?: noStatistics

    /** Returns the average size of a call on [route] and its answer, in bytes; 0 before the first answer. */
    public fun averageExchangeBytes(route: RouteName): Double = averageExchangeBytes[route] ?: 0.0

    /** Returns whether answers on [route] are usually so large that they wait for a slow link. */
    public fun hasLargeAnswers(route: RouteName): Boolean = (averageAnswerBytes[route] ?: 0.0) > LinkSchedule.PART_BYTES

    /** Records the size in [bytes] of a call on [route] and its answer, of which the body of the answer has [answerBytes]. */
    public fun recordExchangeSize(
        route: RouteName,
        bytes: Int,
        answerBytes: Int = 0,
    ) {
        averageExchangeBytes.recordSize(route, bytes)
        averageAnswerBytes.recordSize(route, answerBytes)
    }

    private fun HashMap<RouteName, Double>.recordSize(
        route: RouteName,
        bytes: Int,
    ) {
        val known = this[route]
        if (known == null && size >= MAXIMUM_ROUTES) clear()
        this[route] = if (known == null) bytes.toDouble() else known + SIZE_WEIGHT * (bytes - known)
    }

    /** Records that this node sent a call to [instance]. Each call needs one [recordResult]. */
    public fun recordSent(instance: InstanceName) {
        statistics[instance] = get(instance).withSentCall()
    }

    /**
     * Records the result of a call to [instance], with the load of the guard if the answer contained it.
     *
     * [process] is the process of the instance that is listed, if that is known.
     */
    public fun recordResult(
        instance: InstanceName,
        result: CallResult,
        guardLoad: GuardLoad?,
        now: Moment,
        process: Incarnation? = null,
    ) {
        statistics[instance] = get(instance).withResult(result, guardLoad, now).markedAsLeaving(instance, process, guardLoad)
    }

    /** Records a load report that the guard of [instance] pushed. [process] is as for [recordResult]. */
    public fun recordPushedLoad(
        instance: InstanceName,
        guardLoad: GuardLoad,
        now: Moment,
        process: Incarnation? = null,
    ) {
        statistics[instance] = get(instance).withGuardLoad(guardLoad, now).markedAsLeaving(instance, process, guardLoad)
    }

    /** Records a load report of the platform or the health endpoint. Ignored if it is older than the last one. */
    public fun recordReport(
        instance: InstanceName,
        report: ReportedLoad,
    ) {
        val known = get(instance)
        if (known.reported == null || known.reported.measuredAt < report.measuredAt) statistics[instance] = known.copy(reported = report)
    }

    /** Records that [instance] serves after a cold start: starts its slow start at [now], and discards earlier observations. */
    public fun recordColdStart(
        instance: InstanceName,
        now: Moment,
    ) {
        statistics[instance] = EndpointStatistics(outstanding = get(instance).outstanding, servingSince = now)
    }

    /** Records that [instance] is listed anew, so that it is no longer the server that has left. */
    public fun recordListed(instance: InstanceName) {
        statistics.computeIfPresent(instance) { _, known -> known.copy(isLeaving = false) }
    }

    /** Discards the statistics of instances other than [instances], unless they have outstanding calls. */
    public fun retainOnly(instances: Set<InstanceName>) {
        statistics.keys.retainAll { it in instances || get(it).outstanding > 0 }
    }

    // A load report can be older than the process that now runs, so it names the one that leaves.
    private fun EndpointStatistics.markedAsLeaving(
        instance: InstanceName,
        process: Incarnation?,
        guardLoad: GuardLoad?,
    ): EndpointStatistics = if (guardLoad?.isLeaving(instance, process) == true) copy(isLeaving = true) else this

    private companion object {
        private val noStatistics = EndpointStatistics()
        private const val SIZE_WEIGHT = 0.1

        /** Limits the memory for routes that no longer exist. Discarded sizes of other routes are measured again within a few answers. */
        private const val MAXIMUM_ROUTES = 4_096
    }
}
