package org.celeryusher.kernel.routing

import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.configuration.SampleDocuments
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MemberState.DEAD
import org.celeryusher.kernel.membership.MemberState.LEAVING
import org.celeryusher.kernel.membership.MemberState.LIVE
import org.celeryusher.kernel.membership.MemberState.SUSPECTED
import org.celeryusher.kernel.membership.MembershipView
import kotlin.test.Test
import kotlin.test.assertEquals

class RoutingTableTest {
    @Test
    fun suspectedEndpointsAreUsedOnlyIfFewerThanHalfAreLive() {
        val cases =
            listOf(
                listOf(LIVE, LIVE) to listOf(LIVE, LIVE),
                listOf(LIVE, SUSPECTED) to listOf(LIVE),
                listOf(SUSPECTED, LIVE, SUSPECTED) to listOf(LIVE, SUSPECTED, SUSPECTED),
                listOf(SUSPECTED, LIVE, SUSPECTED, LIVE) to listOf(LIVE, LIVE),
                listOf(SUSPECTED) to listOf(SUSPECTED),
                listOf(LIVE, LEAVING, LEAVING, DEAD) to listOf(LIVE),
                listOf(LEAVING, DEAD) to null,
                emptyList<MemberState>() to null,
            )
        for ((states, expected) in cases) {
            val route = table(states).match("GET", "/read")
            val endpoints = (route as? ResolvedRoute)?.endpoints?.map { it.state }
            assertEquals(expected, endpoints, "providers $states")
            assertEquals(expected == null, route is HeldRoute, "providers $states")
        }
    }

    private fun table(states: List<MemberState>): RoutingTable {
        val address = Address("10.0.0.1", 7400)
        val members =
            states.mapIndexed { index, state ->
                Member(InstanceName("desk-$index"), ServiceName("desk"), DataCentreName("east"), address, address, address, null, state)
            }
        val place = FleetPlace(DataCentreName("east"), ServiceName("desk"), InstanceName("desk-0"))
        return RoutingTable.compile(SampleDocuments.snapshot(SampleDocuments.TEXT), MembershipView(members), place)
    }
}
