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

class MembershipConvergenceTest {
    private val lossy = NetworkFaults(loss = 0.05, duplication = 0.05, longestDelay = 100.milliseconds)

    @Test
    fun everyNodeLearnsOfAStoppedNodeAndOfALeavingOne() {
        val cases = listOf(13 to 5, 50 to 3, 200 to 1).flatMap { (size, seeds) -> (1L..seeds).map { size to it } }
        for ((size, seed) in cases) {
            for (faults in listOf(NetworkFaults(), lossy)) {
                val fleet = joinedFleet(size, seed)
                fleet.faults = faults
                fleet.nodes[5].isRunning = false
                fleet.checkWithin(TARGET, "dead at $size") { stateSeenBy(it, 5) == MemberState.DEAD }
                fleet.nodes[7].handle(MembershipEvent.LeaveStarted)
                fleet.checkWithin(LEAVE_BOUND, "leaving at $size") { stateSeenBy(it, 7) == MemberState.LEAVING }
            }
        }
    }

    @Test
    fun messagesAndBytesDoNotGrowWithTheFleet() {
        for (size in listOf(13, 50, 200)) {
            val fleet = joinedFleet(size, seed = 1)
            fleet.run(1.minutes)
            var messages = 0
            var bytes = 0
            fleet.observe = {
                messages++
                bytes += Json.encodeToString(it).length
            }
            fleet.run(OBSERVED)
            val nodeSeconds = size * OBSERVED.inWholeSeconds
            assertTrue(messages <= MESSAGES_PER_SECOND * nodeSeconds, "$messages messages at $size")
            assertTrue(bytes <= BYTES_PER_SECOND * nodeSeconds, "$bytes bytes at $size")
        }
    }

    @Test
    fun theFleetComesTogetherAfterEachFault() {
        val faults =
            mapOf<String, VirtualFleet.() -> Unit>(
                "all restart at once" to { nodes.forEach { restart(it.index) } },
                "all restart with messages lost" to {
                    nodes.forEach { restart(it.index) }
                    faults = lossy
                    run(5.seconds)
                },
                "half cut off for an hour" to { cutFor(60.minutes) { it % 2 == 0 } },
                "one data centre cut off" to { cutFor(5.minutes) { it % 4 == 0 } },
                "one node cut off" to { cutFor(5.minutes) { it == 6 } },
                "one node hears nobody" to {
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
        for ((what, bring) in faults) {
            val fleet = joinedFleet(size = 13, seed = 2)
            fleet.bring()
            fleet.faults = NetworkFaults()
            fleet.checkWithin(TARGET, what) { isRightAt(it) }
        }
    }

    @Test
    fun aWokenNodeEvictsNobodyAndRefreshes() {
        val fleet = joinedFleet(size = 13, seed = 3)
        fleet.nodes.forEach { it.decisions.clear() }
        fleet.pause(4, 30.seconds)
        fleet.run(45.seconds)
        val decisions = fleet.nodes[4].decisions
        val changes = decisions.filterIsInstance<MembershipDecision.ViewChanged>().flatMap { it.changes }
        assertEquals(emptyList(), changes.filter { it.to == MemberState.SUSPECTED || it.to == MemberState.DEAD })
        val order = decisions.filter { it is MembershipDecision.RefreshBeforePlacing || it is MembershipDecision.PlacingAllowed }
        assertEquals(
            listOf(MembershipDecision.RefreshBeforePlacing(RefreshCause.PAUSED), MembershipDecision.PlacingAllowed(refreshed = true)),
            order,
        )
    }

    @Test
    fun massSuspicionDoesNotEmptyTheView() {
        for (stopped in listOf(0..6, 1..12, 0..8)) {
            val fleet = joinedFleet(size = 13, seed = 4)
            stopped.forEach { fleet.nodes[it].isRunning = false }
            fleet.run(5.minutes)
            for (node in fleet.running()) {
                for ((service, members) in node.machine.view.members
                    .groupBy { it.service }) {
                    val kept = members.count { it.state == MemberState.LIVE || it.state == MemberState.SUSPECTED }
                    assertTrue(kept * 2 >= members.size, "$service at node ${node.index} with $stopped stopped: $kept of ${members.size}")
                }
            }
        }
    }

    @Test
    fun lossInOneDirectionSuspectsNobody() {
        val fleet = joinedFleet(size = 13, seed = 5)
        fleet.faults = NetworkFaults(isCut = { from, to -> from == 1 && to == 6 })
        fleet.nodes.forEach { it.decisions.clear() }
        fleet.run(1.minutes)
        assertEquals(emptyList(), fleet.nodes.flatMap { it.decisions })
    }

    @Test
    fun thePlatformListAloneBringsTheFleetTogetherAndAStaleOneDoesNoHarm() {
        val fleet = VirtualFleet(size = 13, seed = 6, hasSeeds = false)
        fleet.list(revision = 9) { LIVE }
        fleet.checkWithin(SETTLING_TIME, "joined by list") { isRightAt(it) }
        fleet.list(revision = 10) { index -> LIVE.takeIf { index < 3 } }
        fleet.list(revision = 8) { PlatformInstanceState.LEAVING }
        assertTrue(fleet.nodes.all { fleet.isRightAt(it.index) }, "those not listed answer, and the older list is ignored")
        fleet.nodes[1].isRunning = false
        fleet.checkWithin(TARGET, "dead though listed") { stateSeenBy(it, 1) == MemberState.DEAD }
        fleet.list(revision = 11) { LIVE }
        fleet.run(1.minutes)
        assertTrue(fleet.running().all { fleet.stateSeenBy(it.index, 1) == MemberState.DEAD }, "the list does not revive")
        (3..9).forEach { fleet.nodes[it].isRunning = false }
        fleet.run(20.seconds)
        fleet.list(revision = 12) { index -> LIVE.takeUnless { index in 3..9 } }
        fleet.checkWithin(TARGET, "evictions that the platform confirms are not held") {
            isRightAt(it) &&
                stateSeenBy(it, 9) != MemberState.SUSPECTED
        }
    }

    private fun joinedFleet(
        size: Int,
        seed: Long,
    ): VirtualFleet {
        val fleet = VirtualFleet(size, seed)
        fleet.checkWithin(SETTLING_TIME, "joined at $size") { isRightAt(it) }
        return fleet
    }

    private fun VirtualFleet.cutFor(
        duration: Duration,
        isOnOneSide: (Int) -> Boolean,
    ) {
        faults = NetworkFaults(isCut = { from, to -> isOnOneSide(from) != isOnOneSide(to) })
        run(duration)
    }

    private fun VirtualFleet.checkWithin(
        bound: Duration,
        what: String,
        condition: VirtualFleet.(observer: Int) -> Boolean,
    ) {
        run(bound) { running().all { condition(it.index) } }
        val failing = running().filterNot { condition(it.index) }
        assertTrue(failing.isEmpty(), "$what: not within $bound at ${failing.map { it.index to it.machine.view }}")
    }

    private companion object {
        val TARGET = 8.seconds
        val LEAVE_BOUND = 3.seconds
        val OBSERVED = 10.seconds
        const val MESSAGES_PER_SECOND = 6
        const val BYTES_PER_SECOND = 1500
    }
}
