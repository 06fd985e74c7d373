package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against data that grows old because a watch without an answer is taken for data without changes. */
class WatchScheduleTest {
    private val start = Moment(0)
    private val random = Random(1)
    private val complete = SourceRead.Complete(1.seconds)
    private val watch = SourceRead.Watch(StorePosition(0, 7), 400.milliseconds, 800.milliseconds)

    private enum class Event { ANSWERED, HISTORY_GONE, RELAYED, FAILED, REJECTED }

    @Test
    fun theDataIsReadCompletelyUnlessAllChangesSinceTheLastReadAreKnown() {
        val cases =
            listOf(
                emptyList<Event>() to complete,
                listOf(Event.ANSWERED) to watch,
                listOf(Event.ANSWERED, Event.ANSWERED) to watch,
                listOf(Event.ANSWERED, Event.HISTORY_GONE) to complete,
                listOf(Event.ANSWERED, Event.FAILED) to complete,
                listOf(Event.ANSWERED, Event.FAILED, Event.FAILED) to complete,
                listOf(Event.ANSWERED, Event.REJECTED) to complete,
                listOf(Event.ANSWERED, Event.FAILED, Event.ANSWERED) to watch,
                listOf(Event.ANSWERED, Event.RELAYED) to complete,
                listOf(Event.ANSWERED, Event.HISTORY_GONE, Event.ANSWERED, Event.HISTORY_GONE, Event.ANSWERED) to complete,
                listOf(Event.ANSWERED, Event.FAILED, Event.ANSWERED, Event.FAILED) + List(8) { Event.ANSWERED } to watch,
            )
        for ((events, expected) in cases) {
            val schedule = WatchSchedule()
            events.forEach { apply(schedule, it) }
            assertEquals(expected, schedule.next(StorePosition(0, 7)), "$events")
        }
    }

    @Test
    fun aWatchWithoutAnAnswerIsFollowedByACompleteReadAtOnce() {
        data class Case(
            val read: SourceRead,
            val retryAfter: Duration,
            val isAtOnce: Boolean,
        )
        val cases =
            listOf(
                Case(watch, Duration.ZERO, isAtOnce = true),
                Case(watch, 300.milliseconds, isAtOnce = false),
                Case(complete, Duration.ZERO, isAtOnce = false),
            )
        for (case in cases) {
            val pause = WatchSchedule().failed(case.read, case.retryAfter, random)
            assertEquals(case.isAtOnce, pause == Duration.ZERO, "$case")
            assertTrue(pause >= case.retryAfter, "$case: $pause")
        }
    }

    @Test
    fun theDataIsKnownToBeCurrentOnlyUntilTheEarliestTimeOfTheAnswer() {
        data class Case(
            val name: String,
            val read: SourceRead,
            val hasChanges: Boolean,
            val took: Duration,
            val expected: Duration,
        )
        val cases =
            listOf(
                Case("complete read", complete, hasChanges = true, took = 4.milliseconds, expected = Duration.ZERO),
                Case("delayed complete read", complete, hasChanges = true, took = 900.milliseconds, expected = Duration.ZERO),
                Case("watch with a change", watch, hasChanges = true, took = 350.milliseconds, expected = Duration.ZERO),
                Case("watch without one", watch, hasChanges = false, took = 404.milliseconds, expected = 400.milliseconds),
                Case("delayed watch without one", watch, hasChanges = false, took = 790.milliseconds, expected = 400.milliseconds),
                Case("watch that ended early", watch, hasChanges = false, took = 100.milliseconds, expected = Duration.ZERO),
            )
        for (case in cases) {
            val confirmedAt = WatchSchedule().answered(case.read, case.hasChanges, start, start + case.took)
            assertEquals(start + case.expected, confirmedAt, case.name)
        }
    }

    /** Guards against readers on slow links that read the whole document again and again. */
    @Test
    fun aDocumentThatTakesLongOnTheLinkIsNotTakenForASlowPlatform() {
        data class Case(
            val begunAt: Duration,
            val endedAt: Duration,
            val next: SourceRead,
        )
        val cases =
            listOf(
                Case(5.milliseconds, 20.milliseconds, watch),
                Case(5.milliseconds, 900.milliseconds, watch),
                Case(390.milliseconds, 3.seconds, watch),
                Case(500.milliseconds, 520.milliseconds, complete),
            )
        for (case in cases) {
            val schedule = WatchSchedule()
            val read = schedule.next(StorePosition(0, 7))
            val confirmedAt = schedule.answered(read, hasChanges = true, start, start + case.endedAt, start + case.begunAt)
            assertEquals(start, confirmedAt, "$case")
            assertEquals(case.next, schedule.next(StorePosition(0, 7)), "$case")
        }
    }

    /** Guards against readers on slow links that get every version of a storm as a whole document. */
    @Test
    fun aWatchThatReturnedSupersededValuesIsFollowedByACompleteRead() {
        val cases = listOf(0 to watch, 1 to complete, 5 to complete)
        for ((superseded, expected) in cases) {
            val schedule = WatchSchedule()
            schedule.answered(complete, hasChanges = true, start, start + 5.milliseconds)
            val end = start + 300.milliseconds
            schedule.answered(watch, hasChanges = true, start, end, begunAt = end, superseded)
            assertEquals(expected, schedule.next(StorePosition(0, 7)), "$superseded superseded")
            schedule.answered(complete, hasChanges = true, start, start + 5.milliseconds)
            assertEquals(watch, schedule.next(StorePosition(0, 7)), "after a complete read")
        }
    }

    private fun apply(
        schedule: WatchSchedule,
        event: Event,
    ) {
        val read = schedule.next(StorePosition(0, 7))
        when (event) {
            Event.ANSWERED -> schedule.answered(read, hasChanges = true, start, start)
            Event.HISTORY_GONE -> schedule.historyGone()
            Event.RELAYED -> schedule.relayed()
            Event.FAILED -> schedule.failed(read, Duration.ZERO, random)
            Event.REJECTED -> schedule.failed(read, 1.seconds, random)
        }
    }
}
