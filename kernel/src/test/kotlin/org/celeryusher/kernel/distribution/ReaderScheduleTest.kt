package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against overload of the platform by reads of a large fleet, and against a fleet that stops reading.
 *
 * Overload arises when too many nodes read at the same time, above all after a common start or during an outage.
 */
class ReaderScheduleTest {
    private val settings = ReaderSettings.CONFIGURATION
    private val fleet = members(40)
    private val view = MembershipView(fleet)
    private val order = RendezvousOrder.sorted("CONFIGURATION/d0", fleet.filter { it.dataCentre.value == "d0" }.map { it.instance })
    private val now = at(1.minutes)

    private fun scheduleAt(position: Int) =
        ReaderSchedule(ReadSubject.CONFIGURATION, fleet.single { it.instance == order[position] }, settings, START, Random(4))

    @Test
    fun eachPositionReadsWhenTheSourceAgeReachesItsThreshold() {
        val cases =
            listOf(
                Triple(0, Duration.ZERO, null),
                Triple(0, 1.minutes, null),
                Triple(1, 4_499.milliseconds, 1.milliseconds),
                Triple(1, 4_500.milliseconds, null),
                Triple(5, 4_500.milliseconds, 2.seconds),
                Triple(5, 6_500.milliseconds, null),
            )
        for ((position, age, wait) in cases) {
            val expected = if (wait == null) ReadDecision.Read(settings.watchWait) else ReadDecision.WaitUntil(now + wait)
            assertEquals(expected, scheduleAt(position).decide(view, age, now), "position $position, source age $age")
        }
    }

    @Test
    fun nextReaderTakesOverFromASuspectedReader() {
        val viewWithSuspect = MembershipView(fleet.map { if (it.instance == order[0]) it.copy(state = MemberState.SUSPECTED) else it })
        assertIs<ReadDecision.WaitUntil>(scheduleAt(1).decide(view, Duration.ZERO, now))
        assertIs<ReadDecision.Read>(scheduleAt(1).decide(viewWithSuspect, Duration.ZERO, now))
    }

    @Test
    fun backoffIsBoundedAndEndsWhenAnotherNodeGetsAnAnswer() {
        val schedule = scheduleAt(0)
        var moment = now
        repeat(40) { schedule.failed(moment, view, Random(it), retryAfter = if (it == 39) 9.seconds else Duration.ZERO) }
        assertEquals(ReadDecision.WaitUntil(moment + 9.seconds), schedule.decide(view, null, moment))
        repeat(40) {
            schedule.failed(moment, view, Random(it))
            val next = assertIs<ReadDecision.WaitUntil>(schedule.decide(view, null, moment)).moment
            assertTrue(next - moment in 2.seconds..6.seconds, "${next - moment}")
            moment = next
        }
        schedule.failed(moment, view, Random(4))
        val later = moment + 100.milliseconds
        assertTrue(assertIs<ReadDecision.WaitUntil>(schedule.decide(view, 1.milliseconds, later)).moment <= later + settings.takeoverBase)
    }

    private data class FleetCase(
        val name: String,
        val platformIsUp: (Moment) -> Boolean = { true },
        val changes: List<Moment> = emptyList(),
    )

    /** Simulates a fleet in which every node can read both subjects. An outage lasts from [outageFrom] to [outageTo], or from the start. */
    @Test
    fun platformCallsOfTheWholeFleetStayBounded() {
        val cases =
            listOf(
                FleetCase("all start together"),
                FleetCase("all start during an outage", { it >= outageTo }),
                FleetCase("an outage in steady state", { it < outageFrom || it >= outageTo }),
                FleetCase("ten changes per second", changes = List(300) { outageFrom + 100.milliseconds * it }),
            )
        for (case in cases) {
            val replay = ReaderScheduleReplay(FLEET_SIZE, case.platformIsUp, case.changes).run(150.seconds)
            println("${case.name}: ${summary(replay)}")
            assertTrue(replay.peakCallsPerSecond(0.seconds, 150.seconds) <= STORM_CALLS_PER_SECOND, case.name)
            assertTrue(replay.meanCallsPerSecond(60.seconds, 120.seconds) <= STEADY_CALLS_PER_SECOND, case.name)
            assertTrue(replay.firstAnswerAfter(outageTo) <= 2.seconds, case.name)
            assertEquals(FLEET_SIZE, replay.nodesWithKnownAnswer(), case.name)
            assertTrue(replay.maximumSourceAge(at(150.seconds)) <= 10.seconds, case.name)
        }
    }

    @Test
    fun smallFleetReadsSoonAfterAnOutage() {
        val waits =
            (1..40).map { seed ->
                ReaderScheduleReplay(13, { it >= outageTo }, seed = seed).run(150.seconds).firstAnswerAfter(outageTo)
            }
        println("13 nodes, time from the end of the outage to the first answer: median ${waits.sorted()[20]}, longest ${waits.max()}")
        assertTrue(waits.max() <= 6.seconds, waits.toString())
    }

    @Test
    fun longPollsFromEveryNodeExceedTheBound() {
        val changes = listOf(outageFrom, outageFrom + 10.seconds)
        val replay =
            ReaderScheduleReplay(FLEET_SIZE, {
                it < outageFrom + 20.seconds || it >= outageTo
            }, changes, everyNodeWatches = true).run(150.seconds)
        println("long polls from every node, two changes, then an outage: ${summary(replay)}")
        assertTrue(replay.peakCallsPerSecond(60.seconds, 75.seconds) > STORM_CALLS_PER_SECOND)
    }

    private fun summary(replay: ReaderScheduleReplay): String =
        "calls/s in the first 20 s peak ${replay.peakCallsPerSecond(0.seconds, 20.seconds)}; " +
            "60 to 120 s mean ${replay.meanCallsPerSecond(
                60.seconds,
                120.seconds,
            )} peak ${replay.peakCallsPerSecond(60.seconds, 120.seconds)}; " +
            "after 120 s peak ${replay.peakCallsPerSecond(
                120.seconds,
                150.seconds,
            )}, first answer after ${replay.firstAnswerAfter(outageTo)}; " +
            "source age at most ${replay.maximumSourceAge(at(150.seconds))}"

    private companion object {
        const val FLEET_SIZE = 1_600
        const val STORM_CALLS_PER_SECOND = 1_000
        const val STEADY_CALLS_PER_SECOND = 200.0
        val outageFrom = at(60.seconds)
        val outageTo = at(120.seconds)
    }
}
