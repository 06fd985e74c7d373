package org.celeryusher.kernel.membership

import kotlinx.serialization.json.Json
import org.celeryusher.kernel.membership.PlatformInstanceState.LIVE
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Checks that the views of a simulated fleet converge within a time limit after stops, pauses, partitions and lost messages. */
class MembershipConvergenceTest {
    private val lossy = NetworkFaults(loss = 0.05, duplication = 0.05, longestDelay = 100.milliseconds)

    @Test
    fun allNodesDetectAStoppedNodeAndALeavingNodeInTime() {
        val cases = listOf(13 to 5, 50 to 3, 200 to 1).flatMap { (size, seeds) -> (1L..seeds).map { size to it } }
        for ((size, seed) in cases) {
            for (faults in listOf(NetworkFaults(), lossy)) {
                val fleet = joinedFleet(size, seed)
                fleet.faults = faults
                fleet.nodes[5].isRunning = false
                fleet.checkWithin(CONVERGENCE_LIMIT, "dead at $size") { stateSeenBy(it, 5) == MemberState.DEAD }
                fleet.nodes[7].handle(MembershipEvent.LeaveStarted)
                fleet.checkWithin(LEAVE_LIMIT, "leaving at $size") { stateSeenBy(it, 7) == MemberState.LEAVING }
            }
        }
    }

    @Test
    fun messagesAndBytesPerNodeDoNotGrowWithTheFleet() {
        for (size in listOf(13, 50, 200)) {
            val fleet = joinedFleet(size, seed = 1)
            fleet.run(1.minutes)
            var messages = 0
            var bytes = 0
            fleet.observe = {
                messages++
                bytes += Json.encodeToString(it).length
            }
            fleet.run(OBSERVATION_TIME)
            val nodeSeconds = size * OBSERVATION_TIME.inWholeSeconds
            assertTrue(messages <= MAXIMUM_MESSAGES_PER_SECOND * nodeSeconds, "$messages messages at $size")
            assertTrue(bytes <= MAXIMUM_BYTES_PER_SECOND * nodeSeconds, "$bytes bytes at $size")
        }
    }

    @Test
    fun theFleetConvergesAfterEachFault() {
        val faults =
            mapOf<String, SimulatedFleet.() -> Unit>(
                "all restart at once" to { nodes.forEach { restart(it.index) } },
                "all restart with messages lost" to {
                    nodes.forEach { restart(it.index) }
                    faults = lossy
                    run(5.seconds)
                },
                "half partitioned for an hour" to { partitionFor(60.minutes) { it % 2 == 0 } },
                "one data centre partitioned" to { partitionFor(5.minutes) { it % 4 == 0 } },
                "one node partitioned" to { partitionFor(5.minutes) { it == 6 } },
                "one node receives no messages" to {
                    faults = NetworkFaults(isCut = { _, to -> to == 6 })
                    run(2.minutes)
                },
                "one node paused" to {
                    pause(6, 30.seconds)
                    run(30.seconds)
                },
                "most nodes paused" to {
                    (0..9).forEach { pause(it, 30.seconds) }
                    run(30.seconds)
                },
                "every other message lost" to {
                    faults = NetworkFaults(loss = 0.5)
                    run(1.minutes)
                },
            )
        for ((case, applyFault) in faults) {
            val fleet = joinedFleet(size = 13, seed = 2)
            fleet.applyFault()
            fleet.faults = NetworkFaults()
            fleet.checkWithin(CONVERGENCE_LIMIT, case) { isAccurateAt(it) }
        }
    }

    @Test
    fun aResumedNodeEvictsNoMemberAndRefreshes() {
        val fleet = joinedFleet(size = 13, seed = 3)
        fleet.nodes.forEach { it.recordedDecisions.clear() }
        fleet.pause(4, 30.seconds)
        fleet.run(45.seconds)
        val decisions = fleet.nodes[4].recordedDecisions
        val changes = decisions.filterIsInstance<MembershipDecision.ViewChanged>().flatMap { it.changes }
        assertEquals(emptyList(), changes.filter { it.to == MemberState.SUSPECTED || it.to == MemberState.DEAD })
        val order = decisions.filter { it is MembershipDecision.RefreshBeforePlacing || it is MembershipDecision.PlacingAllowed }
        assertEquals(
            listOf(MembershipDecision.RefreshBeforePlacing(RefreshCause.PAUSED), MembershipDecision.PlacingAllowed(isRefreshed = true)),
            order,
        )
    }

    @Test
    fun massFailureEvictsAtMostHalfOfEachService() {
        for (stopped in listOf(0..6, 1..12, 0..8)) {
            val fleet = joinedFleet(size = 13, seed = 4)
            stopped.forEach { fleet.nodes[it].isRunning = false }
            fleet.run(5.minutes)
            for (node in fleet.running()) {
                for ((service, members) in node.membership.view.members
                    .groupBy { it.service }) {
                    val remaining = members.count { it.state == MemberState.LIVE || it.state == MemberState.SUSPECTED }
                    assertTrue(
                        remaining * 2 >= members.size,
                        "$service at node ${node.index} with $stopped stopped: $remaining of ${members.size}",
                    )
                }
            }
        }
    }

    @Test
    fun lossInOneDirectionLeadsToNoSuspicion() {
        val fleet = joinedFleet(size = 13, seed = 5)
        fleet.faults = NetworkFaults(isCut = { from, to -> from == 1 && to == 6 })
        fleet.nodes.forEach { it.recordedDecisions.clear() }
        fleet.run(1.minutes)
        assertEquals(emptyList(), fleet.nodes.flatMap { it.recordedDecisions })
    }

    @Test
    fun theFleetConvergesByThePlatformListAloneAndIgnoresStaleLists() {
        val fleet = SimulatedFleet(size = 13, seed = 6, hasSeeds = false)
        fleet.publishList(revision = 9) { LIVE }
        fleet.checkWithin(SETTLING_TIME, "joined by the platform's list") { isAccurateAt(it) }
        fleet.publishList(revision = 10) { index -> LIVE.takeIf { index < 3 } }
        fleet.publishList(revision = 8) { PlatformInstanceState.LEAVING }
        assertTrue(fleet.nodes.all { fleet.isAccurateAt(it.index) }, "unlisted nodes that answer stay live, and the older list is ignored")
        fleet.nodes[1].isRunning = false
        fleet.checkWithin(CONVERGENCE_LIMIT, "dead although listed") { stateSeenBy(it, 1) == MemberState.DEAD }
        fleet.publishList(revision = 11) { LIVE }
        fleet.run(1.minutes)
        assertTrue(fleet.running().all { fleet.stateSeenBy(it.index, 1) == MemberState.DEAD }, "the list does not revive a dead member")
        (3..9).forEach { fleet.nodes[it].isRunning = false }
        fleet.run(20.seconds)
        fleet.publishList(revision = 12) { index -> LIVE.takeUnless { index in 3..9 } }
        fleet.checkWithin(CONVERGENCE_LIMIT, "evictions that the platform confirms are not held") {
            isAccurateAt(it) &&
                stateSeenBy(it, 9) != MemberState.SUSPECTED
        }
    }

    private fun joinedFleet(
        size: Int,
        seed: Long,
    ): SimulatedFleet {
        val fleet = SimulatedFleet(size, seed)
        fleet.checkWithin(SETTLING_TIME, "joined at $size") { isAccurateAt(it) }
        return fleet
    }

    private fun SimulatedFleet.partitionFor(
        duration: Duration,
        isOnOneSide: (Int) -> Boolean,
    ) {
        faults = NetworkFaults(isCut = { from, to -> isOnOneSide(from) != isOnOneSide(to) })
        run(duration)
    }

    private fun SimulatedFleet.checkWithin(
        bound: Duration,
        case: String,
        condition: SimulatedFleet.(observer: Int) -> Boolean,
    ) {
        run(bound) { running().all { condition(it.index) } }
        val failing = running().filterNot { condition(it.index) }
        assertTrue(failing.isEmpty(), "$case: not within $bound at ${failing.map { it.index to it.membership.view }}")
    }

    private companion object {
        val CONVERGENCE_LIMIT = 8.seconds
        val LEAVE_LIMIT = 3.seconds
        val OBSERVATION_TIME = 10.seconds
        const val MAXIMUM_MESSAGES_PER_SECOND = 6
        const val MAXIMUM_BYTES_PER_SECOND = 1500
    }
}
