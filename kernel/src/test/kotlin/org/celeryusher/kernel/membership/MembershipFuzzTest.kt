package org.celeryusher.kernel.membership

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Injects faults in random order into a small simulated fleet, and compares the nodes' views with the real state. */
class MembershipFuzzTest {
    @Property(seed = "4", tries = 200)
    fun viewsStayValidDuringFaultsAndConvergeAfterThem(
        @ForAll("chains") chain: ActionChain<FuzzFleet>,
    ) {
        chain.run().checkConvergence()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<FuzzFleet>> =
        ActionChain
            .startWith { FuzzFleet() }
            .withAction(faultAction { fleet, value -> fleet.stop(value) })
            .withAction(faultAction { fleet, value -> fleet.restart(value) })
            .withAction(faultAction { fleet, value -> fleet.leave(value) })
            .withAction(faultAction { fleet, value -> fleet.pause(value) })
            .withAction(faultAction { fleet, value -> fleet.partition(value) })
            .withAction(faultAction { fleet, value -> fleet.loseMessages(value) })
            .withAction(faultAction { fleet, value -> fleet.publishList(value) })
            .withAction(faultAction { fleet, value -> fleet.advance(value) })
            .withMaxTransformations(15)

    private fun faultAction(change: (FuzzFleet, Int) -> Unit): Action.Independent<FuzzFleet> =
        Action.Independent {
            Arbitraries.integers().between(0, Int.MAX_VALUE).map { value ->
                Transformer.mutate("with $value") { fleet: FuzzFleet ->
                    change(fleet, value)
                    fleet.advanceAndCheck(value % 3_000 + 100)
                }
            }
        }
}

/** A small simulated fleet with a test oracle that knows which nodes run or leave, and whether the platform may have confirmed deaths. */
class FuzzFleet {
    private val fleet = SimulatedFleet(SIZE, seed = 1)
    private val leaving = mutableSetOf<Int>()
    private var listRevision = 1L

    /** Whether suspicion is the only cause for which a member can have been evicted so far. */
    private var isSuspicionOnlyCause = true
    private val deadIncarnations = mutableMapOf<Pair<Int, InstanceName>, Incarnation>()
    private val memberships = fleet.nodes.map { it.membership }.toMutableList()

    init {
        fleet.run(SETTLING_TIME) { fleet.nodes.all { fleet.isAccurateAt(it.index) } }
    }

    fun stop(value: Int) {
        fleet.nodes[value % SIZE].isRunning = false
    }

    fun restart(value: Int) {
        val index = value % SIZE
        fleet.restart(index)
        leaving -= index
    }

    fun leave(value: Int) {
        val node = fleet.nodes[value % SIZE]
        if (!node.isRunning) return
        leaving += node.index
        isSuspicionOnlyCause = false
        node.handle(MembershipEvent.LeaveStarted)
    }

    fun pause(value: Int) = fleet.pause(value % SIZE, (value % 20).seconds)

    fun partition(value: Int) {
        fleet.faults = NetworkFaults(isCut = { from, to -> (value shr from) and 1 != (value shr to) and 1 })
    }

    fun loseMessages(value: Int) {
        fleet.faults = NetworkFaults(loss = value % 50 / 100.0, duplication = 0.1, longestDelay = 600.milliseconds)
    }

    /** Publishes a list of the platform with some instances missing or leaving; some lists are older than the previous one. */
    fun publishList(value: Int) {
        isSuspicionOnlyCause = false
        fleet.publishList(listRevision + value % 3 - 1) { index ->
            when ((value shr index) % 8) {
                0 -> null
                1 -> PlatformInstanceState.LEAVING
                else -> PlatformInstanceState.LIVE
            }
        }
        listRevision++
    }

    fun advance(value: Int) = advanceAndCheck(value % 30_000)

    fun advanceAndCheck(milliseconds: Int) {
        repeat(milliseconds / STEP_MILLISECONDS + 1) {
            fleet.run(STEP_MILLISECONDS.milliseconds)
            fleet.running().forEach(::check)
        }
    }

    /** Checks that no view revives a dead incarnation, and that suspicion alone evicts at most half of each service. */
    private fun check(node: SimulatedFleet.Node) {
        if (memberships[node.index] !== node.membership) deadIncarnations.keys.removeAll { it.first == node.index }
        memberships[node.index] = node.membership
        for (member in node.membership.view.members) {
            val key = node.index to member.instance
            val incarnation = member.incarnation ?: Incarnation(0)
            if (member.state == MemberState.DEAD) {
                deadIncarnations[key] = incarnation
            } else {
                deadIncarnations[key]?.let { assertTrue(incarnation > it, "$member was revived at node ${node.index}") }
            }
        }
        if (isSuspicionOnlyCause) checkMinimumMembers(node)
    }

    private fun checkMinimumMembers(node: SimulatedFleet.Node) {
        for ((service, members) in node.membership.view.members
            .groupBy { it.service }) {
            val remaining = members.count { it.state == MemberState.LIVE || it.state == MemberState.SUSPECTED }
            assertTrue(remaining * 2 >= members.size, "$service at node ${node.index} keeps $remaining of ${members.size}")
        }
    }

    fun checkConvergence() {
        fleet.faults = NetworkFaults()
        fleet.run(20.seconds)
        fleet.publishList(listRevision + 3) { index -> PlatformInstanceState.LIVE.takeIf { fleet.nodes[index].isRunning } }
        advanceAndCheck(CONVERGENCE_TIME_MILLISECONDS)
        val expected = fleet.running().map { it.index }.filterNot { it in leaving }
        for (node in fleet.running()) {
            val live =
                node.membership.view.members
                    .filter { it.state == MemberState.LIVE }
            assertEquals(
                expected.map { fleet.name(it) }.toSet(),
                live.map { it.instance }.toSet(),
                "live at node ${node.index}: ${node.membership.view}",
            )
            live.forEach { assertEquals(fleet.incarnationOf(it.instance), it.incarnation, "at node ${node.index}") }
        }
    }

    private fun SimulatedFleet.incarnationOf(instance: InstanceName) = nodes.single { name(it.index) == instance }.membership.incarnation

    private companion object {
        const val SIZE = 7
        const val STEP_MILLISECONDS = 500
        const val CONVERGENCE_TIME_MILLISECONDS = 60_000
    }
}
