package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

/** Guards against nodes that read the platform over links on which the document takes too long. */
class DocumentLimitTest {
    private val longestTime = SourceScheduleSettings().longestDocumentTime
    private val fleet = members(20)
    private val view = MembershipView(fleet)
    private val order = RendezvousOrder.sorted("readers of the platform", fleet.map { it.instance })

    @Test
    fun aNodeDeclinesWhenTheDocumentTakesTooLongOnItsLink() {
        data class Case(
            val megabitsPerSecond: Double?,
            val documentBytes: Int?,
            val declines: Boolean,
        )
        val cases =
            listOf(
                Case(7.0, 202_000, declines = true),
                Case(7.0, 87_500, declines = false),
                Case(7.0, 87_501, declines = true),
                Case(140.0, 202_000, declines = false),
                Case(140.0, 1_750_001, declines = true),
                Case(null, 16_000_000, declines = false),
                Case(0.0, 16_000_000, declines = false),
                Case(-1.0, 16_000_000, declines = false),
                Case(7.0, null, declines = false),
            )
        for (case in cases) {
            val limit = DocumentLimit.bytesWithin(longestTime, case.megabitsPerSecond)
            assertEquals(case.declines, DocumentLimit.declines(limit, case.documentBytes), "$case")
            val schedule = SourceSchedule(linkMegabitsPerSecond = case.megabitsPerSecond)
            schedule.choose(view, order[5], Moment(0))
            schedule.documentInForce(case.documentBytes)
            assertEquals(case.declines, schedule.declines, "$case")
            assertEquals(case.declines, schedule.declinedLimits() != null, "$case")
        }
    }

    @Test
    fun theInstancesThatDeclineComeAfterTheOthers() {
        data class Case(
            val name: String,
            val declining: List<Int>,
            val considered: Int,
            val expected: List<Int>,
        )
        val cases =
            listOf(
                Case("none declines", emptyList(), 32, listOf(0, 1, 2, 3, 4, 5, 6)),
                Case("the first decline", listOf(1, 0), 32, listOf(2, 3, 4, 5, 6, 7, 8)),
                Case("all but two decline", (0..19).toList() - listOf(7, 15), 32, listOf(7, 15, 0, 1, 2, 3, 4)),
                Case("all decline", (0..19).toList(), 32, listOf(0, 1, 2, 3, 4, 5, 6)),
                Case("all that are considered decline", (0..4).toList(), 5, listOf(0, 1, 2, 3, 4, 5, 6)),
                Case("the others come last", listOf(0, 1, 2), 5, listOf(3, 4, 0, 1, 2, 5, 6)),
            )
        for (case in cases) {
            val readers = ReaderOrder(candidateCount = 7, case.considered)
            readers.update(view, order[3], case.declining.mapTo(HashSet()) { order[it] })
            assertEquals(case.expected.map { order[it] }, readers.candidates.map { it.instance }, case.name)
        }
    }

    @Test
    fun aNodeAsksTheNextOneAtOnceWhenItsPeerDeclines() {
        val schedule = SourceSchedule()
        schedule.documentInForce(202_000)
        schedule.choose(view, order[19], Moment(0))
        schedule.platformAnswered(Moment(0))
        val first = assertIs<SourceChoice.Peer>(schedule.choose(view, order[19], Moment(0))).member.instance
        val limits = (order.take(7) - first).map { DocumentLimit(it, 87_500) } + DocumentLimit(first, 87_500)
        assertEquals(true, schedule.peerDeclined(first, limits), "not known before")
        val next = assertIs<SourceChoice.Peer>(schedule.choose(view, order[19], Moment(0)))
        assertEquals(true, next.member.instance in order.subList(7, 9), "the next ones that are not known to decline")
        assertEquals(false, next.acceptsDeclining)
        assertEquals(false, schedule.peerDeclined(first, limits), "known before")
        assertEquals(7, schedule.othersDeclining)
        schedule.documentInForce(50_000)
        assertEquals(0, schedule.othersDeclining, "with a shorter document nobody declines")
        schedule.documentInForce(202_000)
        schedule.choose(MembershipView(fleet.filter { it.instance != first }), order[19], Moment(0))
        assertEquals(6, schedule.othersDeclining, "an instance that is gone is forgotten")
        assertNull(schedule.declinedLimits(), "a node whose link is not stated")
    }
}
