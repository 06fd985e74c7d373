package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CrashSuspectsTest {
    private val crashing = RequestFingerprint.of("GET", "/archives/1999", ByteArray(0))
    private val lookup = RequestFingerprint.of("GET", "/meters/1", ByteArray(0))
    private val booking = RequestFingerprint.of("POST", "/bookings", "pall 1".encodeToByteArray())
    private val quarantine = 60.seconds
    private val suspects = CrashSuspects()

    private fun at(seconds: Int) = Moment(0) + seconds.seconds

    private fun CrashSuspects.crash(
        at: Int,
        vararg running: RequestFingerprint,
        all: Boolean = true,
        server: String = "s$at",
    ) = recordCrash(CrashId(InstanceName(server), 1), running.toSet(), all, quarantine, at(at))

    private fun report(
        at: Int,
        vararg running: RequestFingerprint,
        cleared: Boolean = false,
        age: Long = 0,
    ) = CrashReport(CrashId(InstanceName("s$at"), 1), age, 60_000, isComplete = true, running.map { CrashSuspect(it, cleared) })

    @Test
    fun aRequestThatCrashesServersTwiceIsQuarantinedAndOtherSuspectsAreCleared() {
        suspects.crash(at = 0, crashing, lookup, booking)
        for (each in listOf(crashing, lookup, booking)) assertEquals(CrashVerdict.RunExclusively, suspects.verdict(each, at(1)))
        suspects.recordCompletion(lookup, at(1))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(lookup, at(2)))
        assertEquals(report(at = 2, crashing), suspects.crash(at = 2, crashing))
        suspects.recordCompletion(crashing, at(3))
        assertEquals(CrashVerdict.Quarantined(59.seconds), suspects.verdict(crashing, at(3)))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(booking, at(3)), "the quarantined request explains the crash")
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(crashing, at(62)))
        suspects.crash(at = 63, crashing)
        assertIs<CrashVerdict.Quarantined>(suspects.verdict(crashing, at(63)), "one more crash is enough after a quarantine")
    }

    @Test
    fun aRequestIsQuarantinedOnlyIfNoOtherCanHaveCausedTheCrash() {
        suspects.crash(at = 0, crashing, lookup)
        suspects.crash(at = 1, crashing, lookup, booking)
        for (each in listOf(crashing, lookup, booking)) assertEquals(CrashVerdict.RunExclusively, suspects.verdict(each, at(2)))
        suspects.crash(at = 2, crashing, all = false)
        assertEquals(CrashVerdict.RunExclusively, suspects.verdict(crashing, at(2)))
        suspects.recordCompletion(lookup, at(3))
        assertEquals(CrashVerdict.Quarantined(59.seconds), suspects.verdict(crashing, at(3)))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(booking, at(3)))
        suspects.crash(at = 10, crashing, lookup)
        assertEquals(CrashVerdict.Quarantined(quarantine), suspects.verdict(crashing, at(10)))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(lookup, at(10)))
    }

    @Test
    fun twoCrashRequestsAtOnceAreBothQuarantined() {
        suspects.crash(at = 0, crashing, booking, lookup)
        suspects.crash(at = 1, crashing)
        assertIs<CrashVerdict.Quarantined>(suspects.verdict(crashing, at(1)))
        suspects.crash(at = 2, booking, lookup)
        suspects.crash(at = 3, booking)
        assertIs<CrashVerdict.Quarantined>(suspects.verdict(booking, at(3)))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(lookup, at(3)))
    }

    @Test
    fun aFrequentRequestInFlightInManyCrashesStaysServed() {
        for (second in 0..50) {
            suspects.recordCompletion(lookup, at(second))
            suspects.crash(at = second, lookup, RequestFingerprint(5, second.toLong()))
            assertEquals(CrashVerdict.RunNormally, suspects.verdict(lookup, at(second)))
        }
        val informed = CrashSuspects()
        for (report in suspects.activeReports(at(50))) informed.merge(report, at(50))
        assertEquals(CrashVerdict.RunNormally, informed.verdict(lookup, at(50)), "a node that has never run it is told")
    }

    @Test
    fun crashesOfWhichOnlyAPartIsKnownQuarantineWithTheThird() {
        for (second in 0..2) {
            assertEquals(second < 1, suspects.verdict(crashing, at(second)) is CrashVerdict.RunNormally)
            suspects.crash(at = second, crashing, RequestFingerprint(5, second.toLong()), all = false)
        }
        assertIs<CrashVerdict.Quarantined>(suspects.verdict(crashing, at(2)))
    }

    @Test
    fun repeatedReportsChangeNothingAndAnExpiredCrashIsNotRestored() {
        val crash = report(at = 0, crashing)
        assertEquals(CrashReportEffect.CHANGED, suspects.merge(crash, at(0)))
        assertEquals(CrashReportEffect.UNCHANGED, suspects.merge(crash, at(30)))
        assertEquals(listOf(crash.copy(ageMilliseconds = 30_000)), suspects.activeReports(at(30)))
        assertEquals(CrashReportEffect.UNCHANGED, suspects.merge(crash, at(661)), "a late report after the end")
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(crashing, at(661)))
        suspects.merge(report(at = 662, lookup), at(662))
        suspects.recordCompletion(lookup, at(663))
        assertEquals(CrashReportEffect.UNCHANGED, suspects.merge(report(at = 662, lookup), at(664)), "the suspect was cleared on this node")
    }

    @Test
    fun reportsThatNoNodeCanSendAreRefused() {
        val good = report(at = 0, crashing)
        val cases =
            mapOf(
                "no suspect" to good.copy(suspects = emptyList()),
                "too many suspects" to good.copy(suspects = List(65) { CrashSuspect(RequestFingerprint(it.toLong(), 0)) }),
                "negative age" to good.copy(ageMilliseconds = -1),
                "age beyond the end" to good.copy(ageMilliseconds = 660_000),
                "age that overflows" to good.copy(ageMilliseconds = Long.MAX_VALUE),
                "negative quarantine" to good.copy(quarantineMilliseconds = -1),
                "negative ordinal" to good.copy(id = good.id.copy(ordinal = -1)),
            )
        for ((name, report) in cases) assertEquals(CrashReportEffect.REFUSED, suspects.merge(report, at(0)), name)
        assertEquals(0, suspects.size)
        suspects.merge(good.copy(quarantineMilliseconds = Long.MAX_VALUE), at(0))
        assertEquals(86_400_000, suspects.activeReports(at(0)).single().quarantineMilliseconds, "a quarantine has an upper limit")
    }

    @Test
    fun theVerdictDoesNotDependOnTheOrderOfReports() {
        val reports =
            listOf(
                report(at = 0, crashing, lookup),
                report(at = 1, crashing),
                report(at = 0, lookup, cleared = true),
                report(at = 2, booking),
            )
        for (seed in 0..50) {
            val node = CrashSuspects()
            val shuffled = (reports + reports).shuffled(Random(seed))
            shuffled.forEach { node.merge(it, at(3)) }
            assertIs<CrashVerdict.Quarantined>(node.verdict(crashing, at(3)))
            assertEquals(CrashVerdict.RunNormally, node.verdict(lookup, at(3)))
            assertEquals(CrashVerdict.RunExclusively, node.verdict(booking, at(3)))
        }
    }

    @Test
    fun theNumberOfCrashesIsLimitedAndRepeatedSuspectsAreKept() {
        val small = CrashSuspects(CrashLimits(maximumCrashes = 3))
        small.crash(at = 0, crashing)
        small.crash(at = 1, crashing)
        repeat(100) { small.crash(at = it + 2, RequestFingerprint(9, it.toLong())) }
        assertEquals(3, small.size)
        assertIs<CrashVerdict.Quarantined>(small.verdict(crashing, at(2) + 1.milliseconds))
        assertEquals(CrashVerdict.RunNormally, small.verdict(RequestFingerprint(9, 0), at(102)))
        repeat(100_000) { small.recordCompletion(RequestFingerprint(10, it.toLong()), at(200)) }
        assertTrue(small.size <= 3)
    }

    @Test
    fun changesAreSentOnceAndWithinTheByteLimit() {
        repeat(20) { suspects.crash(at = it, RequestFingerprint(9, it.toLong())) }
        val received = ArrayList<CrashReport>()
        var cursor = 0L
        while (cursor != suspects.latestChange) {
            val batch = suspects.changesSince(cursor, maximumBytes = 500, at(20))
            assertTrue(batch.reports.size == 1 || batch.reports.sumOf { it.estimatedBytes } <= 500)
            assertTrue(batch.cursor > cursor)
            received += batch.reports
            cursor = batch.cursor
        }
        assertEquals(20, received.map { it.id }.distinct().size)
        assertEquals(20, received.size)
        assertEquals(emptyList(), suspects.changesSince(cursor, maximumBytes = 500, at(20)).reports)
        assertEquals(20, suspects.changesSince(Long.MAX_VALUE, maximumBytes = 100_000, at(20)).reports.size, "a cursor of another process")
    }
}
