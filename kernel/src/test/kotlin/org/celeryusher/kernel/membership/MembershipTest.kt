package org.celeryusher.kernel.membership

import kotlinx.serialization.json.Json
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Checks how a single [Membership] handles updates, platform lists, pauses and failed calls, without a network. */
class MembershipTest {
    private val fleet = SimulatedFleet(size = 3, seed = 1)
    private val random = Random(1)
    private val self = fleet.member(0).copy(incarnation = Incarnation(100))
    private val membership = Membership(self)
    private var now = Moment(0)

    private fun handle(
        event: MembershipEvent,
        after: Duration = 10.milliseconds,
    ): List<MembershipDecision> {
        now += after
        return membership.handle(event, now, random)
    }

    private fun update(
        index: Int,
        start: Long,
        refutation: Int = 0,
        state: MemberState = MemberState.LIVE,
    ) = MemberUpdate(fleet.name(index), start, refutation, state, metadata = fleet.member(index).metadata)

    private fun receive(
        sender: MemberUpdate,
        vararg updates: MemberUpdate,
    ) = handle(MembershipEvent.MessageReceived(GossipMessage(sender, membersHash = 0, updates = updates.toList())))

    private fun receiveList(
        revision: Long,
        vararg states: Pair<Int, PlatformInstanceState>,
    ) {
        val instances = states.map { (index, state) -> fleet.listed(index, state) }
        handle(MembershipEvent.PlatformListed(PlatformInstanceList(revision, instances)))
    }

    @Test
    fun updatesAreOrderedByIncarnationAndThenByState() {
        val order =
            listOf(
                update(1, 5) to MemberState.LIVE,
                update(1, 5, state = MemberState.SUSPECTED) to MemberState.SUSPECTED,
                update(1, 5) to MemberState.SUSPECTED,
                update(1, 5, refutation = 1) to MemberState.LIVE,
                update(1, 5, state = MemberState.DEAD) to MemberState.LIVE,
                update(1, 5, refutation = 2, state = MemberState.LEAVING) to MemberState.LEAVING,
                update(1, 5, refutation = 2, state = MemberState.SUSPECTED) to MemberState.LEAVING,
                update(1, 5, refutation = 2, state = MemberState.DEAD) to MemberState.DEAD,
                update(1, 5, refutation = 2) to MemberState.DEAD,
                update(1, 4, refutation = 9) to MemberState.DEAD,
                update(1, 6) to MemberState.LIVE,
            )
        for ((received, expected) in order) {
            receive(update(2, 7), received)
            assertEquals(expected, membership.view[fleet.name(1)]?.state, "after $received")
        }
    }

    @Test
    fun platformListNeitherRevivesNorEvictsAndBindsLeavingToOneProcessStart() {
        receiveList(3, 1 to PlatformInstanceState.LIVE)
        assertEquals(MemberState.LIVE, membership.view[fleet.name(1)]?.state, "listed only")
        receive(update(1, 5))
        receiveList(4)
        assertEquals(MemberState.LIVE, membership.view[fleet.name(1)]?.state, "answers, but is not listed")
        receiveList(3, 1 to PlatformInstanceState.LEAVING)
        assertEquals(MemberState.LIVE, membership.view[fleet.name(1)]?.state, "older list")
        receiveList(5, 1 to PlatformInstanceState.LEAVING)
        assertEquals(MemberState.LEAVING, membership.view[fleet.name(1)]?.state, "listed as leaving")
        receive(update(1, 6))
        receiveList(6, 1 to PlatformInstanceState.LEAVING)
        assertEquals(MemberState.LIVE, membership.view[fleet.name(1)]?.state, "restarted after the listing")
        receive(update(1, 6, state = MemberState.DEAD))
        receiveList(7, 1 to PlatformInstanceState.LIVE)
        assertEquals(MemberState.DEAD, membership.view[fleet.name(1)]?.state, "dead, but listed")
    }

    @Test
    fun aNodeRefutesWrongUpdatesAboutItself() {
        val cases =
            listOf(
                update(0, 100, state = MemberState.SUSPECTED) to Incarnation(100, 1),
                update(0, 100, state = MemberState.SUSPECTED) to Incarnation(100, 1),
                update(0, 100, refutation = 4, state = MemberState.DEAD) to Incarnation(100, 5),
                update(0, 99, state = MemberState.LIVE) to Incarnation(100, 5),
                update(0, 200, refutation = 3) to Incarnation(201),
            )
        for ((received, expected) in cases) {
            receive(update(1, 5), received)
            assertEquals(expected, membership.incarnation, "after $received")
            assertEquals(MemberState.LIVE, membership.view[fleet.name(0)]?.state)
        }
        handle(MembershipEvent.LeaveStarted)
        receive(update(1, 5), update(0, 201, refutation = 7, state = MemberState.SUSPECTED))
        assertEquals(MemberState.LEAVING, membership.view[fleet.name(0)]?.state, "still leaving")
    }

    @Test
    fun newWorkWaitsAfterStartPauseAndFalseEviction() {
        val causes = { decisions: List<MembershipDecision> ->
            decisions.filterIsInstance<MembershipDecision.RefreshBeforePlacing>().map { it.cause }
        }
        assertEquals(listOf(RefreshCause.STARTED), causes(handle(MembershipEvent.Ticked)))
        repeat(15) { handle(MembershipEvent.Ticked, 200.milliseconds) }
        assertEquals(false, membership.isRefreshing, "the wait is bounded")
        assertEquals(listOf(RefreshCause.PAUSED), causes(handle(MembershipEvent.ExchangeFailed(number = 999), 3.seconds)))
        repeat(15) { handle(MembershipEvent.Ticked, 200.milliseconds) }
        assertEquals(listOf(RefreshCause.DECLARED_DEAD), causes(receive(update(1, 5), update(0, 100, state = MemberState.DEAD))))
    }

    @Test
    fun aFailedCallTriggersAnImmediateProbe() {
        receive(update(1, 5))
        val started = handle(MembershipEvent.CallFailed(fleet.name(1))).filterIsInstance<MembershipDecision.StartExchange>()
        assertEquals(listOf(ExchangePurpose.PROBE), started.map { it.purpose })
        assertEquals(emptyList(), handle(MembershipEvent.CallFailed(fleet.name(1))), "one probe at a time")
    }

    @Test
    fun messagesAreLimitedInSizeAndDecodeToTheSameMessage() {
        val manyUpdates = (1..200).map { update(it, 1_764_000_000_000 + it) }
        val request = GossipMessage(update(1, 5), 0, manyUpdates, page = MemberPage(hash = 1))
        val reply = handle(MembershipEvent.MessageReceived(request)).filterIsInstance<MembershipDecision.Reply>().single().message
        val json = Json.encodeToString(reply)
        assertEquals(reply, Json.decodeFromString<GossipMessage>(json))
        assertTrue(json.length in 1000..MAXIMUM_MESSAGE_LENGTH, "bytes: ${json.length}")
        assertEquals(MembershipSettings().pageSize, reply.page?.entries?.size)
    }

    private companion object {
        const val MAXIMUM_MESSAGE_LENGTH = 8000
    }
}
