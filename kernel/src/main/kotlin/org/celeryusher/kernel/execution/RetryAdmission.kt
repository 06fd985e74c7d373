package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/** A repeat, or several, that a guard allows once the guards of other services have granted [calls] repeats of theirs. */
public class RetryDemand internal constructor(
    internal val charge: RetryCharge,
    /** How many repeated calls to each service the repeats will make. */
    public val calls: Map<ServiceName, Double>,
)

/**
 * Decides at a guard which repeats its service bears: those that arrive, and those that the guards of its callers ask for in advance.
 *
 * A repeated run repeats the calls that it makes. So a repeat is allowed only if each service that it calls, directly or through others, bears
 * what is expected to arrive there. Not thread-safe.
 */
public class RetryAdmission(
    private val budget: RetryBudget,
    private val runs: ServerRuns,
) {
    private val unknownRepeats = ArrayDeque<Moment>()

    /** Returns what one repeat on [route] demands, or null if the budget of this guard does not allow it. */
    public fun admit(
        route: RouteName,
        now: Moment,
    ): RetryDemand? {
        val calls = runs.callsPerRun(route, now)
        while (unknownRepeats.isNotEmpty() && unknownRepeats.first() <= now - UNKNOWN_INTERVAL) unknownRepeats.removeFirst()
        if (calls == null && unknownRepeats.size >= MAXIMUM_UNKNOWN) return null
        val demand = demand(1.0, calls.orEmpty(), now)
        if (calls == null && demand != null) unknownRepeats += now
        return demand
    }

    /** Returns what [amount] repeats of calls from another service demand, or null if the budget of this guard does not allow them. */
    public fun grant(
        amount: Double,
        now: Moment,
    ): RetryDemand? = demand(amount, runs.meanCallsPerRun(now), now)

    /** Takes back what [demand] was charged, because the repeats are not made. */
    public fun withdraw(demand: RetryDemand): Unit = budget.refund(demand.charge)

    private fun demand(
        amount: Double,
        callsPerRun: Map<ServiceName, Double>,
        now: Moment,
    ): RetryDemand? {
        val charge = budget.charge(amount, now) ?: return null
        return RetryDemand(charge, callsPerRun.mapValues { it.value * amount * VARIATION }.filterValues { it >= SMALLEST_GRANT })
    }

    private companion object {
        /** The number of calls differs from run to run; this much more than the mean is demanded. */
        const val VARIATION = 1.1

        /** Smaller demands, which are mostly errors of the estimate, are not worth a message. */
        const val SMALLEST_GRANT = 0.05

        /** So many repeats are allowed in [UNKNOWN_INTERVAL] while too few runs were seen to know what they call. */
        const val MAXIMUM_UNKNOWN = 3
        val UNKNOWN_INTERVAL = 1.seconds
    }
}
