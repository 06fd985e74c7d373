package org.celeryusher.kernel.admission

import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a backend server that gets more calls a second than it has stated that it takes. */
class RateLimitTest {
    private val start = Moment(0)
    private val policy =
        AdmissionPolicy(
            ranks = listOf(RankPolicy(RankName("urgent"), 0.0), RankPolicy(RankName("other"), 0.0)),
            slots = 6,
            connections = 120,
            queueCapacity = 48,
            drainLimit = 3.seconds,
            slowStart = Duration.ZERO,
            slotsAreExact = true,
        )

    @Test
    fun theLimitInForceIsTheOneLastStatedOrTheOneThatProxiesKnowBeforeThat() {
        data class Case(
            val name: String,
            val events: RateLimit.() -> Unit,
            val expected: Double?,
        )
        val cases =
            listOf(
                Case("nothing stated", {}, null),
                Case("stated", { state(9.5, start) }, 9.5),
                Case("stated anew", { listOf(9.5, 4.0).forEach { state(it, start) } }, 4.0),
                Case("no longer stated", { listOf(9.5, null).forEach { state(it, start) } }, null),
                Case("known to a proxy", { suggest(9.5, start) }, 9.5),
                Case("a proxy without news", { listOf(9.5, null).forEach { suggest(it, start) } }, 9.5),
                Case("late news of a proxy", { state(null, start).also { suggest(9.5, start) } }, null),
                Case("late news of another limit", { state(4.0, start).also { suggest(9.5, start) } }, 4.0),
                Case("another process of the server", { state(4.0, start).also { reset() } }, null),
                Case("known to a proxy after a restart", { state(4.0, start).also { reset() }.also { suggest(3.0, start) } }, 3.0),
                Case("stated as zero", { state(0.0, start) }, 0.2),
            )
        for (case in cases) assertEquals(case.expected, RateLimit().apply(case.events).perSecond, case.name)
    }

    @Test
    fun callsStartAtTheStatedRateAndWaitOrAreRefusedAtOnce() {
        val controller = AdmissionController<Int>(policy, start)
        controller.serverNoticed(ServerNotice(requestsPerSecond = 2.0), start)
        val first = controller.arrive(request(1, start + 2.seconds), start).single()
        assertEquals(500.milliseconds, assertIs<AdmissionDecision.Enqueued<Int>>(first).estimatedWait)
        val second = controller.arrive(request(2, start + 700.milliseconds), start).single()
        assertEquals(RefusalCause.WAIT_OUTLASTS_DEADLINE, assertIs<AdmissionDecision.Refuse<Int>>(second).cause)
        assertEquals(start + 500.milliseconds, controller.nextTick())
        assertEquals(emptyList(), controller.tick(start + 499.milliseconds))
        assertIs<AdmissionDecision.Start<Int>>(controller.tick(start + 500.milliseconds).single())
        controller.finished(1, 10.milliseconds, ServiceOutcome.OK, start + 510.milliseconds)
        assertIs<AdmissionDecision.Enqueued<Int>>(controller.arrive(request(3, start + 3.seconds), start + 510.milliseconds).single())
        val ended = controller.serverNoticed(ServerNotice(), start + 520.milliseconds)
        assertIs<AdmissionDecision.Start<Int>>(ended.single(), "the server no longer states a limit")
    }

    @Test
    fun theReportedLoadHasRoomOnlyForCallsThatMayStart() {
        val controller = AdmissionController<Int>(policy, start)
        assertEquals(6, controller.load(start).limit)
        controller.serverNoticed(ServerNotice(requestsPerSecond = 4.0), start)
        val cases = listOf(0 to 0, 250 to 1, 499 to 1, 500 to 2, 9_000 to 2)
        for ((milliseconds, expected) in cases) {
            val load = controller.load(start + milliseconds.milliseconds)
            assertEquals(expected to 4.0, load.limit to load.callsPerSecond, "after $milliseconds ms")
        }
    }

    @Test
    fun aServerThatStatesThatItLeavesGetsNoFurtherCalls() {
        val controller = AdmissionController<Int>(policy, start)
        (1..8).forEach { controller.arrive(request(it, start + 2.seconds), start) }
        val decisions = controller.serverNoticed(ServerNotice(isLeaving = true), start)
        assertEquals(setOf(7, 8), decisions.mapTo(HashSet()) { assertIs<AdmissionDecision.Refuse<Int>>(it).key }, "the queued calls")
        controller.serverNoticed(ServerNotice(), start)
        val later = controller.arrive(request(9, start + 2.seconds), start).single()
        assertEquals(RefusalCause.DRAINING, assertIs<AdmissionDecision.Refuse<Int>>(later).cause, "a later answer does not take it back")
        controller.serverStarted(start + 1.seconds)
        assertTrue(controller.load(start + 1.seconds).accepts(0), "another process of the server takes calls")
    }

    private fun request(
        key: Int,
        deadline: Moment,
    ) = AdmissionRequest(key, rankPosition = 0, deadline, target = deadline)
}
