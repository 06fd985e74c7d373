package org.celeryusher.standin.platform

import org.celeryusher.standin.TestClient
import org.celeryusher.standin.awaitUntil
import org.celeryusher.standin.text
import java.io.IOException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class PlatformStandInTest {
    private val platform = PlatformStandIn(PlatformOptions(callsPerSecond = 100_000)).start()
    private val client = TestClient()

    @AfterTest
    fun stop() = platform.stop()

    private fun publish(version: Long): Long = platform.publish("""{"version":$version}""".encodeToByteArray())

    @Test
    fun answersReadsWatchesAndLists() {
        publish(4)
        val cases =
            listOf(
                Triple("/configuration", 200, """{"version":4}"""),
                Triple("/configuration?after=3&waitMilliseconds=60000", 200, """{"version":4}"""),
                Triple("/configuration?after=4&waitMilliseconds=1", 204, ""),
                Triple("/configuration?after=x", 400, """{"error":"after is not a number"}"""),
                Triple("/instances", 200, """{"revision":0,"instances":[]}"""),
                Triple("/other", 404, """{"error":"no such resource"}"""),
            )
        for ((target, status, body) in cases) {
            val answer = client.get(platform.address, target)
            assertEquals(status to body, answer.statusCode() to answer.text(), target)
        }
        assertEquals(PlatformCallCounts(1, 3, 1), platform.counts.copy(maximumPerSecond = 0))
    }

    @Test
    fun answersPendingWatchesOnlyWhenANewerVersionIsPublished() {
        publish(1)
        val watches = List(50) { client.getAsync(platform.address, "/configuration?after=1&waitMilliseconds=60000") }
        awaitUntil("all watches are pending") { platform.openWatches == 50 }
        publish(1)
        publish(2)
        for (watch in watches) assertEquals("""{"version":2}""", watch.get().text())
        assertEquals(0, platform.openWatches)
    }

    @Test
    fun storesADocumentWithoutVersionUnderTheNextVersion() {
        publish(7)
        assertEquals(8, platform.publish("{".encodeToByteArray()))
        assertEquals("{", client.get(platform.address, "/configuration?after=7&waitMilliseconds=0").text())
    }

    @Test
    fun unavailabilityAnswersPendingWatchesAndRecoveryKeepsThePort() {
        publish(1)
        val watch = client.getAsync(platform.address, "/configuration?after=1&waitMilliseconds=60000")
        awaitUntil("the watch is pending") { platform.openWatches == 1 }
        platform.faults = listOf(PlatformFault.Unavailable)
        assertEquals(503, watch.get().statusCode())
        platform.faults = listOf(PlatformFault.ConnectionRefused)
        assertFailsWith<IOException> { client.get(platform.address, "/configuration") }
        platform.faults = emptyList()
        assertEquals(200, client.get(platform.address, "/configuration").statusCode())
    }

    @Test
    fun truncatesTheBodyAndRefusesCallsAboveTheRate() {
        publish(1)
        platform.faults = listOf(PlatformFault.TruncatedBody(0.5))
        assertFailsWith<IOException> { client.get(platform.address, "/configuration") }
        val limited = PlatformStandIn(PlatformOptions(callsPerSecond = 0)).start()
        val refused = client.get(limited.address, "/instances")
        limited.stop()
        assertEquals(429, refused.statusCode())
        assertTrue(refused.headers().firstValue("Retry-After").isPresent)
    }
}
