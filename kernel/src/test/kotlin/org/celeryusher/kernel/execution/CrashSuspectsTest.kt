package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CrashSuspectsTest {
    private val killer = RequestFingerprint.of("GET", "/archives/1999", ByteArray(0))
    private val lookup = RequestFingerprint.of("GET", "/meters/1", ByteArray(0))
    private val booking = RequestFingerprint.of("POST", "/bookings", "pall 1".encodeToByteArray())
    private val quarantine = 60.seconds
    private val suspects = CrashSuspects()

    private fun at(seconds: Int) = Moment(0) + seconds.seconds

    private fun CrashSuspects.crash(
        at: Int,
        vararg running: RequestFingerprint,
        all: Boolean = true,
    ) = crashed(running.toSet(), all, quarantine, at(at))

    @Test
    fun aCrashRequestIsQuarantinedAndInnocentsAreCleared() {
        suspects.crash(at = 0, killer, lookup, booking)
        for (each in listOf(killer, lookup, booking)) assertEquals(CrashVerdict.RunAlone, suspects.verdict(each, at(1)))
        suspects.completed(lookup, at(1))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(lookup, at(2)))
        val news = suspects.crash(at = 2, killer)
        assertEquals(listOf(QuarantineNews(killer, 60_000, crashes = 2)), news)
        suspects.completed(killer, at(3))
        assertEquals(CrashVerdict.Quarantined(59.seconds), suspects.verdict(killer, at(3)))
        assertEquals(CrashVerdict.RunAlone, suspects.verdict(booking, at(3)))
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(killer, at(62)))
    }

    @Test
    fun onlyACertainCulpritIsQuarantined() {
        suspects.crash(at = 0, killer, lookup)
        suspects.crash(at = 1, killer, lookup, booking)
        for (each in listOf(killer, lookup, booking)) assertEquals(CrashVerdict.RunAlone, suspects.verdict(each, at(2)))
        suspects.crash(at = 2, killer, all = false)
        assertEquals(CrashVerdict.RunAlone, suspects.verdict(killer, at(2)))
        suspects.completed(lookup, at(3))
        suspects.completed(booking, at(3))
        suspects.crash(at = 3, killer, lookup)
        assertEquals(CrashVerdict.Quarantined(quarantine), suspects.verdict(killer, at(3)))
        assertEquals(CrashVerdict.RunAlone, suspects.verdict(lookup, at(3)))
    }

    @Test
    fun newsSpreadsOnceAndNeitherProlongsNorReturns() {
        val news = QuarantineNews(killer, 60_000, crashes = 2)
        assertTrue(suspects.merge(news, at(0)))
        assertFalse(suspects.merge(news, at(30)))
        assertEquals(listOf(news.copy(remainingMilliseconds = 30_000)), suspects.news(at(30)))
        assertFalse(suspects.merge(news.copy(remainingMilliseconds = 500), at(61)), "an echo after the end")
        assertEquals(CrashVerdict.RunNormally, suspects.verdict(killer, at(61)))
        suspects.merge(QuarantineNews(lookup, 60_000, crashes = 1), at(61))
        suspects.completed(lookup, at(62))
        assertFalse(suspects.merge(QuarantineNews(lookup, 60_000, crashes = 1), at(63)), "cleared here")
        assertTrue(suspects.merge(QuarantineNews(lookup, 60_000, crashes = 2), at(63)))
    }

    @Test
    fun memoryIsBoundedAndSuspectsGiveWayFirst() {
        val small = CrashSuspects(maximumEntries = 2)
        small.merge(QuarantineNews(killer, 60_000, crashes = 2), at(0))
        small.crash(at = 0, lookup)
        small.crash(at = 1, booking)
        val verdicts = listOf(killer, lookup, booking).map { small.verdict(it, at(1) + 1.milliseconds)::class }
        assertEquals(listOf(CrashVerdict.Quarantined::class, CrashVerdict.RunNormally::class, CrashVerdict.RunAlone::class), verdicts)
    }
}
