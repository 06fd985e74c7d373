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

/** Runs faults in any order on a small fleet, and compares the nodes' views with what is known to be true. */
class MembershipFuzzTest {
    @Property(seed = "4", tries = 200)
    fun viewsHoldDuringFaultsAndAgreeAfterThem(
        @ForAll("chains") chain: ActionChain<FuzzFleet>,
    ) {
        chain.run().checkAfterHealing()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<FuzzFleet>> =
        ActionChain
            .startWith { FuzzFleet() }
            .withAction(act { fleet, value -> fleet.stop(value) })
            .withAction(act { fleet, value -> fleet.restart(value) })
            .withAction(act { fleet, value -> fleet.leave(value) })
            .withAction(act { fleet, value -> fleet.pause(value) })
            .withAction(act { fleet, value -> fleet.cut(value) })
            .withAction(act { fleet, value -> fleet.lose(value) })
            .withAction(act { fleet, value -> fleet.list(value) })
            .withAction(act { fleet, value -> fleet.pass(value) })
            .withMaxTransformations(15)

    private fun act(change: (FuzzFleet, Int) -> Unit): Action.Independent<FuzzFleet> =
        Action.Independent {
            Arbitraries.integers().between(0, Int.MAX_VALUE).map { value ->
                Transformer.mutate("with $value") { fleet: FuzzFleet ->
                    change(fleet, value)
                    fleet.passAndCheck(value % 3_000 + 100)
                }
            }
        }
}

/** A small fleet with the oracle's knowledge: who runs, who leaves, and whose death the platform may have confirmed. */
class FuzzFleet {
    private val fleet = VirtualFleet(SIZE, seed = 1)
    private val leaving = mutableSetOf<Int>()
    private var listRevision = 1L

    /** Whether only suspicion can have evicted a member so far. */
    private var isSuspicionAlone = true
    private val buried = mutableMapOf<Pair<Int, InstanceName>, Incarnation>()
    private val lives = fleet.nodes.map { it.machine }.toMutableList()

    init {
        fleet.run(SETTLING_TIME) { fleet.nodes.all { fleet.isRightAt(it.index) } }
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
        isSuspicionAlone = false
        node.handle(MembershipEvent.LeaveStarted)
    }

    fun pause(value: Int) = fleet.pause(value % SIZE, (value % 20).seconds)

    fun cut(value: Int) {
        fleet.faults = NetworkFaults(isCut = { from, to -> (value shr from) and 1 != (value shr to) and 1 })
    }

    fun lose(value: Int) {
        fleet.faults = NetworkFaults(loss = value % 50 / 100.0, duplication = 0.1, longestDelay = 600.milliseconds)
    }

    /** The platform's list with some instances missing or leaving, at times older than the one before. */
    fun list(value: Int) {
        isSuspicionAlone = false
        fleet.list(listRevision + value % 3 - 1) { index ->
            when ((value shr index) % 8) {
                0 -> null
                1 -> PlatformInstanceState.LEAVING
                else -> PlatformInstanceState.LIVE
            }
        }
        listRevision++
    }

    fun pass(value: Int) = passAndCheck(value % 30_000)

    fun passAndCheck(milliseconds: Int) {
        repeat(milliseconds / STEP + 1) {
            fleet.run(STEP.milliseconds)
            fleet.running().forEach(::check)
        }
    }

    /** No view returns to a dead incarnation, and suspicion alone leaves at least half of each service. */
    private fun check(node: VirtualFleet.Node) {
        if (lives[node.index] !== node.machine) buried.keys.removeAll { it.first == node.index }
        lives[node.index] = node.machine
        for (member in node.machine.view.members) {
            val key = node.index to member.instance
            val incarnation = member.incarnation ?: Incarnation(0)
            if (member.state == MemberState.DEAD) {
                buried[key] = incarnation
            } else {
                buried[key]?.let { assertTrue(incarnation > it, "$member came back at node ${node.index}") }
            }
        }
        if (isSuspicionAlone) checkFloor(node)
    }

    private fun checkFloor(node: VirtualFleet.Node) {
        for ((service, members) in node.machine.view.members
            .groupBy { it.service }) {
            val kept = members.count { it.state == MemberState.LIVE || it.state == MemberState.SUSPECTED }
            assertTrue(kept * 2 >= members.size, "$service at node ${node.index} keeps $kept of ${members.size}")
        }
    }

    fun checkAfterHealing() {
        fleet.faults = NetworkFaults()
        fleet.run(20.seconds)
        fleet.list(listRevision + 3) { index -> PlatformInstanceState.LIVE.takeIf { fleet.nodes[index].isRunning } }
        passAndCheck(QUIET_TIME)
        val expected = fleet.running().map { it.index }.filterNot { it in leaving }
        for (node in fleet.running()) {
            val live =
                node.machine.view.members
                    .filter { it.state == MemberState.LIVE }
            assertEquals(
                expected.map { fleet.name(it) }.toSet(),
                live.map { it.instance }.toSet(),
                "live at node ${node.index}: ${node.machine.view}",
            )
            live.forEach { assertEquals(fleet.incarnationOf(it.instance), it.incarnation, "at node ${node.index}") }
        }
    }

    private fun VirtualFleet.incarnationOf(instance: InstanceName) = nodes.single { name(it.index) == instance }.machine.incarnation

    private companion object {
        const val SIZE = 7
        const val STEP = 500
        const val QUIET_TIME = 60_000
    }
}
