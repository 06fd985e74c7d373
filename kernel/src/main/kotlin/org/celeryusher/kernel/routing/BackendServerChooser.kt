package org.celeryusher.kernel.routing

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses the endpoint that a call is sent to.
 *
 * Draws two local endpoints at random and takes the one with the shorter expected time ("The Power of Two Choices in Randomized Load
 * Balancing", Mitzenmacher 2001). If a remote endpoint may be faster, compares it with the better of two remote endpoints, whose cost
 * includes the network round trip and the transfer. Endpoints in slow start are drawn less often. Outliers and suspected endpoints are
 * excluded as long as others remain.
 *
 * In a burst on servers that differ in speed, a call with a short target latency is sent to the server where it ends first. A call with a
 * long target latency is sent to the slower of two servers that are both fast enough, which leaves the fast one to calls that need it.
 *
 * On servers of a service that state their slowdown, most local draws are slower than the best remote one for a moment. A call then leaves its
 * data centre only if the local time would use up most of its target latency, so that the traffic between data centres stays small.
 */
public class BackendServerChooser(
    private val distances: DataCentreDistances,
    private val loads: EndpointLoadTracker,
) {
    /** Returns an endpoint of [route] that is not in [tried], with the reason for the choice. */
    public fun choose(
        route: ResolvedRoute,
        tried: Set<InstanceName>,
        now: Moment,
        random: Random,
    ): EndpointChoice {
        val ejected = ejectedOf(route, now)
        val usable = usableOf(route, tried, ejected)
        if (usable.isEmpty()) return EndpointChoice.NoneLeft
        val selection = Selection(route, contextOf(route, now), now, random)
        val (own, others) = usable.partition { it.dataCentre == distances.own }
        val best = if (own.isEmpty()) selection.bestOfTwo(others) else selection.preferLocal(own, others)
        val reason = if (own.isEmpty() && usable.size > 1) ChoiceReason.NONE_IN_OWN_DATA_CENTRE else best.reason
        return EndpointChoice.Chosen(best.candidate.endpoint, best.candidate.cost, reason, best.passedOver, ejected.toList())
    }

    /** Returns how each endpoint of [route] compares at [now] for a first attempt. Nothing is drawn. */
    public fun assess(
        route: ResolvedRoute,
        now: Moment,
    ): List<EndpointAssessment> {
        val usable = usableOf(route, emptySet(), ejectedOf(route, now)).mapTo(HashSet()) { it.instance }
        val selection = Selection(route, contextOf(route, now), now, Random.Default)
        return route.endpoints.map {
            EndpointAssessment(it, selection.candidate(it).cost, selection.weightOf(it), it.instance in usable)
        }
    }

    private fun contextOf(
        route: ResolvedRoute,
        now: Moment,
    ): CostContext =
        CostContext(
            route.service.slots ?: slotsOf(route.endpoints),
            route.rankPosition,
            medianServiceTime(route.endpoints),
            now,
            loads.hasLargeAnswers(route.declaration.name),
        )

    /**
     * Returns the ejected endpoints, at most the share that may be ejected and never all. If there are more, those whose ejection ends last
     * stay ejected.
     */
    private fun ejectedOf(
        route: ResolvedRoute,
        now: Moment,
    ): Set<InstanceName> {
        val endpoints = route.endpoints
        val cap = (endpoints.size * route.settings.ejectionCapShare).toInt().coerceAtMost(endpoints.size - 1)
        return endpoints
            .map { it.instance }
            .filter { loads[it].isEjected(now) }
            .sortedByDescending { loads[it].ejectedUntil }
            .take(cap)
            .toSet()
    }

    private fun usableOf(
        route: ResolvedRoute,
        tried: Set<InstanceName>,
        ejected: Set<InstanceName>,
    ): List<Member> {
        val untried = route.endpoints.filter { it.instance !in tried && isServing(it) }
        val live = untried.filter { it.state == MemberState.LIVE }
        val notEjected = live.filter { it.instance !in ejected }
        return notEjected.ifEmpty { live }.ifEmpty { untried }
    }

    private fun isServing(member: Member): Boolean =
        member.state != MemberState.LEAVING && member.state != MemberState.DEAD && !loads[member.instance].isLeaving

    /** Returns the median latency without the network round trip: the service time assumed when the guard of an endpoint reported none. */
    private fun medianServiceTime(endpoints: List<Member>): Duration? {
        val latencies = endpoints.mapNotNull { member -> loads[member.instance].latency?.let { it - roundTripTo(member) } }.sorted()
        return if (latencies.isEmpty()) null else latencies[(latencies.size - 1) / 2].coerceAtLeast(MINIMUM_SERVICE_TIME)
    }

    private fun slotsOf(endpoints: List<Member>): Int = endpoints.maxOf { it.slots ?: 1 }

    private fun roundTripTo(member: Member): Duration = distances.to(member.dataCentre) * 2

    private class SelectedCandidate(
        val candidate: Candidate,
        val passedOver: List<Candidate>,
        val reason: ChoiceReason,
    )

    private inner class Selection(
        route: ResolvedRoute,
        private val context: CostContext,
        private val now: Moment,
        private val random: Random,
    ) {
        private val slowStart = route.settings.slowStartMilliseconds.milliseconds
        private val transferCost = distances.transferCost(loads.averageExchangeBytes(route.declaration.name))
        private val targetLatency = route.settings.targetLatencyMilliseconds.milliseconds
        private val acceptableServiceTime = targetLatency * ACCEPTABLE_SERVICE_SHARE
        private val acceptableLocalTime = if (statesSlowdown(route)) targetLatency * ACCEPTABLE_LOCAL_SHARE else acceptableServiceTime

        /** Compares rounded values, so that the decayed remains of old observations do not exclude an endpoint permanently. */
        private val byExpectedTime =
            compareBy<Candidate>(
                { it.cost.totalWithServiceFloor(acceptableServiceTime).inWholeMilliseconds },
                { -it.cost.service.inWholeMilliseconds },
                { (it.cost.load * 10).toInt() },
            )

        fun preferLocal(
            own: List<Member>,
            others: List<Member>,
        ): SelectedCandidate {
            val local = bestOfTwo(own)
            val shortestRoundTrip = others.minOfOrNull(::roundTripTo) ?: return local
            val localCost = local.candidate.cost.totalWithServiceFloor(acceptableServiceTime)
            if (localCost <= acceptableLocalTime + shortestRoundTrip + transferCost) return local
            val remote = bestOfTwo(others)
            return if (remote.candidate.cost.totalWithServiceFloor(acceptableServiceTime) < localCost) {
                SelectedCandidate(remote.candidate, local.passedOver + local.candidate + remote.passedOver, ChoiceReason.OTHER_DATA_CENTRE)
            } else {
                SelectedCandidate(local.candidate, local.passedOver + remote.candidate + remote.passedOver, local.reason)
            }
        }

        fun bestOfTwo(members: List<Member>): SelectedCandidate {
            val first = drawWeighted(members)
            val rest = members - first
            if (rest.isEmpty()) return SelectedCandidate(candidate(first), emptyList(), ChoiceReason.ONLY_CANDIDATE)
            val pair = listOf(candidate(first), candidate(drawWeighted(rest))).sortedWith(byExpectedTime)
            return SelectedCandidate(pair.first(), pair.drop(1), ChoiceReason.SOONER_OF_TWO)
        }

        /**
         * Draws one of [members] at random. The weight of an endpoint in slow start grows with its age, and that of an endpoint that has
         * stated a limit on calls a second is the share of its calls that the limit allows.
         */
        private fun drawWeighted(members: List<Member>): Member {
            val weights = members.map(::weightOf)
            var remaining = random.nextDouble() * weights.sum()
            members.forEachIndexed { index, member ->
                remaining -= weights[index]
                if (remaining < 0) return member
            }
            return members.last()
        }

        fun weightOf(member: Member): Double = loads[member.instance].slowStartShare(slowStart, now) * rateShareOf(member) * speedOf(member)

        private fun rateShareOf(member: Member): Double {
            val statistics = loads[member.instance]
            if (statistics.callsPerSecond == null) return 1.0
            return statistics.rateShare(context.slots, EndpointCost.serviceTimeOf(statistics, context))
        }

        /** Returns the speed of a server that has stated its slowdown recently, relative to the median of the service, 1 for any other. */
        private fun speedOf(member: Member): Double {
            val statistics = loads[member.instance]
            val median = context.medianServiceTime
            if (statistics.guardLoad?.slowdown == null || median == null) return 1.0
            return (median / EndpointCost.serviceTimeOf(statistics, context)).coerceIn(SPEED_SHARES)
        }

        fun candidate(member: Member): Candidate =
            Candidate(member, EndpointCost.of(loads[member.instance], context, roundTripTo(member), now, transferCostTo(member)))

        private fun statesSlowdown(route: ResolvedRoute): Boolean = route.endpoints.any { loads[it.instance].guardLoad?.slowdown != null }

        private fun transferCostTo(member: Member): Duration = if (member.dataCentre == distances.own) Duration.ZERO else transferCost
    }

    private companion object {
        private val MINIMUM_SERVICE_TIME = 1.milliseconds

        /** Servers outside this range of speeds are drawn as if they were at its border, so that an estimate far off cannot idle one. */
        private val SPEED_SHARES = 0.2..3.0

        /**
         * The share of the target latency within which a service time is acceptable: the rest covers its variance and a retry.
         *
         * With a quarter, proxies crowded the fastest servers: the busiest of 85 got 2.1 times the mean of the calls at a load of 0.6, 1.6 with
         * this share. With 0.6 up to twice as many calls were late.
         */
        private const val ACCEPTABLE_SERVICE_SHARE = 0.4

        /** The share of the target latency that a call may take in its own data centre before it is compared with calls to others. */
        private const val ACCEPTABLE_LOCAL_SHARE = 0.6
    }
}
