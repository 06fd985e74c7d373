package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The requests that the backend server beside a node is running, which may make calls of their own through the node.
 *
 * A call expires no later than the request for which it is made. So a call that outlives all running requests is one of a caller, and is the
 * only one that is certain to be. What a run that ended without an answer still does is unknown until its deadline, and what ran before
 * this node started is unknown for [blindFor]. Not thread-safe.
 */
public class ServerRuns(
    startedAt: Moment,
    blindFor: Duration,
) {
    private class Run(
        val route: RouteName,
        val deadline: Moment,
        var endsAt: Moment = Moment.FAR_FUTURE,
    )

    private val provableFrom = startedAt + blindFor
    private val runs = HashMap<AttemptId, Run>()
    private val estimator = NestedCallEstimator(startedAt)

    /** Records that the server begins to run [attempt] of a request on [route]. */
    public fun started(
        attempt: AttemptId,
        route: RouteName,
        deadline: Moment,
        now: Moment,
    ) {
        discardEnded(now)
        runs[attempt] = Run(route, deadline)
        estimator.started(route, now)
    }

    /** Records that [attempt] ended here. Unless [isAnswered], the server may go on with it. */
    public fun ended(
        attempt: AttemptId,
        isAnswered: Boolean,
        now: Moment,
    ) {
        val run = runs[attempt] ?: return
        run.endsAt = if (isAnswered) now else run.deadline
        estimator.ended(run.route, now)
    }

    /** Records the arrival of a call to [target] at this node, and returns whether only a caller can have sent it. */
    public fun isCertainlyOfCaller(
        target: CallTarget,
        deadline: Moment?,
        now: Moment,
    ): Boolean {
        discardEnded(now)
        val isCertain = deadline != null && now >= provableFrom && runs.values.all { it.deadline + DELIVERY_MARGIN < deadline }
        estimator.arrived(target, isCertain, now)
        return isCertain
    }

    /**
     * Returns whether a call to [target] that expires at [deadline] is more likely made by the server for a request that it is running than
     * sent by a caller. It is false until [callsPerRun] or [meanCallsPerRun] was asked.
     */
    public fun isLikelyOfRun(
        target: CallTarget,
        deadline: Moment?,
        now: Moment,
    ): Boolean {
        if (deadline == null) return false
        val candidates = HashMap<RouteName, Int>()
        for (run in runs.values) {
            if (now < run.endsAt && deadline < run.deadline + DELIVERY_MARGIN) candidates.merge(run.route, 1, Int::plus)
        }
        return estimator.probabilityOfRun(target, candidates) >= LIKELY
    }

    /** Returns whether the server may make a call that expires at [deadline] for a request that it is running. */
    public fun mayMakeCall(
        deadline: Moment,
        now: Moment,
    ): Boolean = runs.values.any { now < it.endsAt && deadline < it.deadline + DELIVERY_MARGIN }

    /** Returns how many calls a run on [route] makes to each service, or null while too few runs were seen. */
    public fun callsPerRun(
        route: RouteName,
        now: Moment,
    ): Map<ServiceName, Double>? = estimator.callsPerRun(route, now)

    /** Returns how many calls a run makes to each service, on average over all routes. */
    public fun meanCallsPerRun(now: Moment): Map<ServiceName, Double> = estimator.meanCallsPerRun(now)

    private fun discardEnded(now: Moment) {
        runs.values.removeIf { it.endsAt + DELIVERY_MARGIN < now }
    }

    private companion object {
        /** How much later than it was sent a call may be read, and how much longer than stated here a run may believe to have. */
        val DELIVERY_MARGIN = 100.milliseconds
        const val LIKELY = 0.5
    }
}
