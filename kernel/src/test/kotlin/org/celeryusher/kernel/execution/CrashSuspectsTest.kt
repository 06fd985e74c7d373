package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
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
    ) = recordCrash(running.toSet(), all, quarantine, at(at))

    @Test
    fun aRequestThatCrashesServersTwiceIsQuarantinedAndOtherSuspectsAreCleared() {
        suspects.crash(at = 0, crashing, lookup, booking)
        for (each in listOf(crashing, lookup, booking)) assertEquals(CrashVerdict.RunExclusively, suspects.verdict(each, at(1)))
        suspects.recordCompletion(lookup, at(1))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(lookup, at(2)))
        val report = suspects.crash(at = 2, crashing)
        assertEquals(listOf(QuarantineReport(crashing, 60_000, crashes = 2)), report)
        suspects.recordCompletion(crashing, at(3))
        assertEquals(CrashVerdict.Quarantined(59.seconds), suspects.verdict(crashing, at(3)))
        assertEquals(CrashVerdict.RunExclusively, suspects.verdict(booking, at(3)))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(crashing, at(62)))
    }

    @Test
    fun aRequestIsQuarantinedOnlyIfNoOtherCanHaveCausedTheCrash() {
        suspects.crash(at = 0, crashing, lookup)
        suspects.crash(at = 1, crashing, lookup, booking)
        for (each in listOf(crashing, lookup, booking)) assertEquals(CrashVerdict.RunExclusively, suspects.verdict(each, at(2)))
        suspects.crash(at = 2, crashing, all = false)
        assertEquals(CrashVerdict.RunExclusively, suspects.verdict(crashing, at(2)))
        suspects.recordCompletion(lookup, at(3))
        suspects.recordCompletion(booking, at(3))
        suspects.crash(at = 3, crashing, lookup)
        assertEquals(CrashVerdict.Quarantined(quarantine), suspects.verdict(crashing, at(3)))
        assertEquals(CrashVerdict.RunExclusively, suspects.verdict(lookup, at(3)))
    }

    @Test
    fun aReportIsForwardedOnceAndNeitherExtendsNorRestoresAnEntry() {
        val report = QuarantineReport(crashing, 60_000, crashes = 2)
        assertTrue(suspects.merge(report, at(0)))
        assertFalse(suspects.merge(report, at(30)))
        assertEquals(listOf(report.copy(remainingMilliseconds = 30_000)), suspects.activeReports(at(30)))
        assertFalse(suspects.merge(report.copy(remainingMilliseconds = 500), at(61)), "a late report after the end")
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(crashing, at(61)))
        suspects.merge(QuarantineReport(lookup, 60_000, crashes = 1), at(61))
        suspects.recordCompletion(lookup, at(62))
        assertFalse(suspects.merge(QuarantineReport(lookup, 60_000, crashes = 1), at(63)), "the suspect was cleared on this node")
        assertTrue(suspects.merge(QuarantineReport(lookup, 60_000, crashes = 2), at(63)))
    }

    @Test
    fun theNumberOfEntriesIsLimitedAndSuspectsAreEvictedFirst() {
        val small = CrashSuspects(maximumEntries = 2)
        small.merge(QuarantineReport(crashing, 60_000, crashes = 2), at(0))
        small.crash(at = 0, lookup)
        small.crash(at = 1, booking)
        val verdicts = listOf(crashing, lookup, booking).map { small.verdict(it, at(1) + 1.milliseconds)::class }
        assertEquals(listOf(CrashVerdict.Quarantined::class, CrashVerdict.RunNormally::class, CrashVerdict.RunExclusively::class), verdicts)
    }
}
