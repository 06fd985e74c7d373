package org.celeryusher.kernel.membership

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class MembershipConvergenceTest {
    private val sizes = listOf(13, 50, 200)

    @Test
    fun everyNodeLearnsOfAStoppedNodeAndOfALeavingOne() {
        for (size in sizes) {
            val fleet = joinedFleet(size)
            fleet.nodes[5].isRunning = false
            fleet.checkWithin(DEATH_BOUND, "dead at $size") { stateSeenBy(it, 5) == MemberState.DEAD }
            fleet.nodes[7].handle(MembershipEvent.LeaveStarted)
            fleet.checkWithin(LEAVE_BOUND, "leaving at $size") { stateSeenBy(it, 7) == MemberState.LEAVING }
        }
    }

    private fun joinedFleet(size: Int): VirtualFleet {
        val fleet = VirtualFleet(size, seed = size.toLong())
        fleet.checkWithin(SETTLING_TIME, "joined at $size") {
            nodes[it]
                .machine.view.members.size == size
        }
        return fleet
    }

    private fun VirtualFleet.checkWithin(
        bound: Duration,
        what: String,
        condition: VirtualFleet.(observer: Int) -> Boolean,
    ) {
        val taken = run(bound) { running().all { condition(it.index) } }
        assertTrue(running().all { condition(it.index) }, "$what: not within $taken")
    }

    private companion object {
        val DEATH_BOUND = 8.seconds
        val LEAVE_BOUND = 3.seconds
    }
}
