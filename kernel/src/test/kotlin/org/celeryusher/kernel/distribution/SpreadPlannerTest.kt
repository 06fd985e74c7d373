package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.SampleDocuments
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against excess pushes and pulls, and against a newer version that a node learns of but never pulls. */
class SpreadPlannerTest {
    private val fleet = members(40)
    private val view = MembershipView(fleet)
    private val digest = SampleDocuments.snapshot(6).digest
    private val peer = ConfigurationSource.Peer(InstanceName("i1"))

    private fun holderOf(version: Long) =
        VersionHolder(VersionFloor(START, fleet[0].dataCentre)).also {
            it.offer(SampleDocuments.snapshot(version), ConfigurationSource.Platform, at(3.seconds))
        }

    @Test
    fun pushesStayInTheOwnDataCentreUnlessThePlatformIsTheSource() {
        val cases =
            listOf(
                ConfigurationSource.Platform to mapOf("d0" to 4, "d1" to 1, "d2" to 1, "d3" to 1),
                peer to mapOf("d0" to 4),
            )
        for ((source, expected) in cases) {
            val targets = SpreadPlanner(fleet[0]).pushTargets(digest, source, view, Random(4))
            assertEquals(expected, targets.groupingBy { it.dataCentre.value }.eachCount(), source.toString())
            assertTrue(fleet[0] !in targets)
        }
    }

    @Test
    fun pushTargetsExcludeUpToDateAndSuspectedNodes() {
        val planner = SpreadPlanner(fleet[0])
        fleet.drop(9).forEach { planner.onAnnouncement(it.instance, digest, holderOf(6), at(4.seconds)) }
        val states = mapOf("i4" to MemberState.DEAD, "i1" to MemberState.SUSPECTED)
        val viewWithFailures = MembershipView(fleet.map { it.copy(state = states[it.instance.value] ?: MemberState.LIVE) })
        val targets = planner.pushTargets(digest, ConfigurationSource.Platform, viewWithFailures, Random(4)).map { it.instance.value }
        assertEquals(
            setOf("i8"),
            targets
                .filter { name ->
                    fleet.single { it.instance.value == name }.dataCentre == fleet[0].dataCentre
                }.toSet(),
        )
        assertTrue(targets.none { it in states }, targets.toString())
    }

    @Test
    fun gossipPeersAreMostlyInTheOwnDataCentre() {
        val random = Random(4)
        val local = (1..1_000).count { SpreadPlanner(fleet[0]).selectGossipPeer(view, random)?.dataCentre == fleet[0].dataCentre }
        assertTrue(local in 850..950, "$local of 1000")
        assertNull(SpreadPlanner(fleet[0]).selectGossipPeer(MembershipView(listOf(fleet[0])), random))
        val suspected = fleet[1].copy(state = MemberState.SUSPECTED)
        assertEquals(suspected, SpreadPlanner(fleet[0]).selectGossipPeer(MembershipView(listOf(fleet[0], suspected)), random))
    }

    @Test
    fun announcedDigestDecidesWhetherToPull() {
        val same = SampleDocuments.snapshot(5).digest
        val cases =
            listOf(
                digest to SpreadDecision.Pull(fleet[1].instance, digest),
                same to SpreadDecision.Nothing,
                same.copy(contentHash = 1) to SpreadDecision.Conflict(fleet[1].instance, same.copy(contentHash = 1), same),
                same.copy(version = 4) to SpreadDecision.Nothing,
            )
        for ((announced, expected) in cases) {
            assertEquals(expected, SpreadPlanner(fleet[0]).onAnnouncement(fleet[1].instance, announced, holderOf(5), at(4.seconds)))
        }
    }

    @Test
    fun onlyOnePullRunsAndAnotherPeerIsTriedAfterAFailure() {
        val planner = SpreadPlanner(fleet[0])
        val holder = holderOf(5)
        val now = at(4.seconds)
        val (first, second) = fleet[1].instance to fleet[2].instance
        assertIs<SpreadDecision.Pull>(planner.onAnnouncement(first, digest, holder, now))
        assertIs<SpreadDecision.Nothing>(planner.onAnnouncement(second, digest, holder, now))
        assertEquals(SpreadDecision.Pull(second, digest), planner.pullEnded(first, 5.seconds, holder, now))
        assertIs<SpreadDecision.Nothing>(planner.pullEnded(second, 5.seconds, holder, now))
        assertIs<SpreadDecision.Nothing>(planner.onAnnouncement(first, digest, holder, now + 4.seconds))
        assertIs<SpreadDecision.Pull>(planner.onAnnouncement(first, digest, holder, now + 5.seconds))
        assertIs<SpreadDecision.Nothing>(planner.onAnnouncement(second, digest, holder, now + 5_999.milliseconds))
        assertIs<SpreadDecision.Pull>(planner.onAnnouncement(second, digest, holder, now + 6.seconds))
        holder.offer(SampleDocuments.snapshot(6), peer, now)
        assertIs<SpreadDecision.Nothing>(planner.pullEnded(second, Duration.ZERO, holder, now + 6.seconds))
    }
}
