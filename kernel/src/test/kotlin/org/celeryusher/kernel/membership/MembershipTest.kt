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

class MembershipTest {
    private val fleet = VirtualFleet(size = 3, seed = 1)
    private val random = Random(1)
    private val self = fleet.member(0).copy(incarnation = Incarnation(100))
    private val machine = Membership(self)
    private var now = Moment(0)

    private fun handle(
        event: MembershipEvent,
        after: Duration = 10.milliseconds,
    ): List<MembershipDecision> {
        now += after
        return machine.handle(event, now, random)
    }

    private fun news(
        index: Int,
        start: Long,
        refutation: Int = 0,
        state: MemberState = MemberState.LIVE,
    ) = MemberNews(fleet.name(index), start, refutation, state, place = fleet.member(index).place)

    private fun receive(
        sender: MemberNews,
        vararg news: MemberNews,
    ) = handle(MembershipEvent.MessageReceived(GossipMessage(sender, membersHash = 0, news = news.toList())))

    private fun list(
        revision: Long,
        vararg states: Pair<Int, PlatformInstanceState>,
    ) {
        val instances = states.map { (index, state) -> fleet.listed(index, state) }
        handle(MembershipEvent.PlatformListed(PlatformInstanceList(revision, instances)))
    }

    @Test
    fun newsCountsByIncarnationAndThenByState() {
        val order =
            listOf(
                news(1, 5) to MemberState.LIVE,
                news(1, 5, state = MemberState.SUSPECTED) to MemberState.SUSPECTED,
                news(1, 5) to MemberState.SUSPECTED,
                news(1, 5, refutation = 1) to MemberState.LIVE,
                news(1, 5, state = MemberState.DEAD) to MemberState.LIVE,
                news(1, 5, refutation = 2, state = MemberState.LEAVING) to MemberState.LEAVING,
                news(1, 5, refutation = 2, state = MemberState.SUSPECTED) to MemberState.LEAVING,
                news(1, 5, refutation = 2, state = MemberState.DEAD) to MemberState.DEAD,
                news(1, 5, refutation = 2) to MemberState.DEAD,
                news(1, 4, refutation = 9) to MemberState.DEAD,
                news(1, 6) to MemberState.LIVE,
            )
        for ((said, expected) in order) {
            receive(news(2, 7), said)
            assertEquals(expected, machine.view[fleet.name(1)]?.state, "after $said")
        }
    }

    @Test
    fun platformListNeitherRevivesNorEvictsAndBindsLeavingToOneLife() {
        list(3, 1 to PlatformInstanceState.LIVE)
        assertEquals(MemberState.LIVE, machine.view[fleet.name(1)]?.state, "listed only")
        receive(news(1, 5))
        list(4)
        assertEquals(MemberState.LIVE, machine.view[fleet.name(1)]?.state, "answers, not listed")
        list(3, 1 to PlatformInstanceState.LEAVING)
        assertEquals(MemberState.LIVE, machine.view[fleet.name(1)]?.state, "older list")
        list(5, 1 to PlatformInstanceState.LEAVING)
        assertEquals(MemberState.LEAVING, machine.view[fleet.name(1)]?.state, "listed as leaving")
        receive(news(1, 6))
        list(6, 1 to PlatformInstanceState.LEAVING)
        assertEquals(MemberState.LIVE, machine.view[fleet.name(1)]?.state, "a new life after the listing")
        receive(news(1, 6, state = MemberState.DEAD))
        list(7, 1 to PlatformInstanceState.LIVE)
        assertEquals(MemberState.DEAD, machine.view[fleet.name(1)]?.state, "dead, but listed")
    }

    @Test
    fun aNodeContradictsWhatIsSaidOfIt() {
        val cases =
            listOf(
                news(0, 100, state = MemberState.SUSPECTED) to Incarnation(100, 1),
                news(0, 100, state = MemberState.SUSPECTED) to Incarnation(100, 1),
                news(0, 100, refutation = 4, state = MemberState.DEAD) to Incarnation(100, 5),
                news(0, 99, state = MemberState.LIVE) to Incarnation(100, 5),
                news(0, 200, refutation = 3) to Incarnation(201),
            )
        for ((said, expected) in cases) {
            receive(news(1, 5), said)
            assertEquals(expected, machine.incarnation, "after $said")
            assertEquals(MemberState.LIVE, machine.view[fleet.name(0)]?.state)
        }
        handle(MembershipEvent.LeaveStarted)
        receive(news(1, 5), news(0, 201, refutation = 7, state = MemberState.SUSPECTED))
        assertEquals(MemberState.LEAVING, machine.view[fleet.name(0)]?.state, "still leaving")
    }

    @Test
    fun newWorkWaitsAfterStartPauseAndWrongfulDeath() {
        val waits = { decisions: List<MembershipDecision> ->
            decisions.filterIsInstance<MembershipDecision.RefreshBeforePlacing>().map { it.cause }
        }
        assertEquals(listOf(RefreshCause.STARTED), waits(handle(MembershipEvent.Ticked)))
        repeat(15) { handle(MembershipEvent.Ticked, 200.milliseconds) }
        assertEquals(false, machine.isRefreshing, "the wait is bounded")
        assertEquals(listOf(RefreshCause.PAUSED), waits(handle(MembershipEvent.ExchangeFailed(number = 999), 3.seconds)))
        repeat(15) { handle(MembershipEvent.Ticked, 200.milliseconds) }
        assertEquals(listOf(RefreshCause.DECLARED_DEAD), waits(receive(news(1, 5), news(0, 100, state = MemberState.DEAD))))
    }

    @Test
    fun aFailedCallLeadsToAProbeAtOnce() {
        receive(news(1, 5))
        val started = handle(MembershipEvent.CallFailed(fleet.name(1))).filterIsInstance<MembershipDecision.StartExchange>()
        assertEquals(listOf(ExchangePurpose.PROBE), started.map { it.purpose })
        assertEquals(emptyList(), handle(MembershipEvent.CallFailed(fleet.name(1))), "one probe at a time")
    }

    @Test
    fun messagesAreBoundedAndReadBackAsWritten() {
        val crowd = (1..200).map { news(it, 1_764_000_000_000 + it) }
        val request = GossipMessage(news(1, 5), 0, crowd, page = MemberPage(hash = 1))
        val reply = handle(MembershipEvent.MessageReceived(request)).filterIsInstance<MembershipDecision.Reply>().single().message
        val json = Json.encodeToString(reply)
        assertEquals(reply, Json.decodeFromString<GossipMessage>(json))
        assertTrue(json.length in 1000..MESSAGE_BOUND, "bytes: ${json.length}")
        assertEquals(MembershipSettings().pageSize, reply.page?.entries?.size)
    }

    private companion object {
        const val MESSAGE_BOUND = 8000
    }
}
