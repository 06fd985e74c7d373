package org.celeryusher.standin.server

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.standin.TestClient
import org.celeryusher.standin.awaitUntil
import org.celeryusher.standin.text
import java.io.IOException
import java.net.Socket
import java.net.http.HttpTimeoutException
import java.util.concurrent.ExecutionException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

class BackendServerStandInTest {
    private val runCounter = WorkRunCounter()
    private val client = TestClient()
    private val started = mutableListOf<BackendServerStandIn>()
    private val endless =
        BackendServerProfile(slots = 2, serviceTimes = listOf(PathServiceTime("/endless", ServiceTime.Fixed(1.hours))))

    @AfterTest
    fun stop() = started.forEach(BackendServerStandIn::stop)

    private fun server(profile: BackendServerProfile = BackendServerProfile()): BackendServerStandIn =
        BackendServerStandIn(InstanceName("billing-desk-1"), profile, runCounter).start().also(started::add)

    private fun BackendServerStandIn.occupy(work: String) {
        val runsBefore = counts.runs
        client.postAsync(address, "/endless?work=$work")
        awaitUntil("$work runs") { counts.runs > runsBefore }
    }

    @Test
    fun answersWithAnEchoAndCountsRuns() {
        val server = server()
        for (size in listOf(0, 1, 100_000)) {
            val target = "/collections?work=c-$size&answerBytes=${size / 2}"
            val body = ByteArray(size) { it.toByte() }
            val answer = client.post(server.address, target, body)
            assertTrue(EchoAnswer.matches("POST", target, body, answer.body()), "size $size")
            assertFalse(EchoAnswer.matches("POST", "$target&other", body, answer.body()), "size $size")
            assertEquals(1, runCounter.runsOf("c-$size"))
        }
        client.post(server.address, "/collections?work=c-0", ByteArray(0))
        assertEquals(listOf("c-0"), runCounter.startedMoreThanOnce("c-"))
        assertEquals(2, runCounter.maximumRuns())
    }

    @Test
    fun shedsCallsWhenBusyDrainingStartingOrPastTheDeadline() {
        val busy = server(endless)
        busy.occupy("first")
        busy.occupy("second")
        val draining = server().also(BackendServerStandIn::drain)
        val starting = server(BackendServerProfile(startup = 1.hours))
        val cases =
            listOf(
                Triple(busy, emptyArray(), 503),
                Triple(draining, emptyArray(), 503),
                Triple(starting, emptyArray(), 503),
                Triple(server(), arrayOf("Celeryusher-Deadline-Milliseconds", "0"), 504),
            )
        for ((server, headers, status) in cases) {
            val answer = client.get(server.address, "/quick?work=quick", *headers)
            assertEquals(status, answer.statusCode())
            assertEquals("true", answer.headers().firstValue("Celeryusher-Shed").get())
        }
        assertEquals(0, runCounter.runsOf("quick"))
        assertEquals("""{"state":"ready","slots":2,"running":2,"queued":0}""", client.get(busy.address, "/health").text())
        assertEquals("""{"state":"draining","slots":6,"running":0,"queued":0}""", client.get(draining.address, "/health").text())
    }

    @Test
    fun cancelsWorkAtTheDeadlineAndOnDisconnect() {
        val server = server(endless)
        val late = client.get(server.address, "/endless?work=late", "Celeryusher-Deadline-Milliseconds", "20")
        assertEquals(504, late.statusCode())
        assertTrue(late.headers().firstValue("Celeryusher-Shed").isEmpty)
        Socket(server.address.host, server.address.port).use {
            it.getOutputStream().write("GET /endless?work=left HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray())
            awaitUntil("the work runs") { runCounter.runsOf("left") == 1 }
        }
        awaitUntil("the work is cancelled") { server.counts.stopped == 2L }
        assertEquals(0, server.counts.completed)
    }

    @Test
    fun crashMarkerStopsAllRunningWorkAndTheServerRestartsOnTheSamePort() {
        val server = server(endless.copy(crashMarkers = listOf("poison"), restartAfter = 1.milliseconds))
        val address = server.address
        val victim = client.postAsync(address, "/endless?work=victim")
        awaitUntil("the victim runs") { runCounter.runsOf("victim") == 1 }
        assertFailsWith<IOException> { client.post(address, "/quick", "poison".encodeToByteArray()) }
        val loss = assertFailsWith<ExecutionException> { victim.get() }
        assertTrue(loss.cause is IOException && loss.cause !is HttpTimeoutException, "the running call failed with ${loss.cause}")
        awaitUntil("the server has restarted") { runCatching { client.get(address, "/quick").statusCode() }.getOrNull() == 200 }
        assertEquals(address, server.address)
        assertEquals(1, server.counts.crashes)
    }

    @Test
    fun answerFaultsDamageAnswers() {
        val server = server()
        val target = "/invoices/7"
        val whole = client.get(server.address, target).body()
        server.answerFault = AnswerFault.Truncated
        assertFailsWith<IOException> { client.get(server.address, target) }
        server.answerFault = AnswerFault.ShortLength(missingBytes = 3)
        assertContentEquals(whole.copyOf(whole.size - 3), client.get(server.address, target).body())
        server.answerFault = AnswerFault.PreviousBody
        assertContentEquals(whole, client.get(server.address, "/invoices/8").body())
    }

    @Test
    fun healthReportsCanBeDelayedOrConstant() {
        val server = server(endless)
        server.occupy("one")
        server.reporting = HealthReporting.Lagging(1.hours)
        assertEquals("""{"state":"ready","slots":2,"running":0,"queued":0}""", client.get(server.address, "/health").text())
        server.reporting = HealthReporting.Constant(HealthReport(ServerState.READY, slots = 9, running = 0, queued = 3))
        assertEquals("""{"state":"ready","slots":9,"running":0,"queued":3}""", client.get(server.address, "/health").text())
    }

    @Test
    fun closesConnectionsAboveTheLimit() {
        val server = server(BackendServerProfile(connections = 1))
        Socket(server.address.host, server.address.port).use {
            awaitUntil("the connection is open") { server.counts.openConnections == 1 }
            assertFailsWith<IOException> { client.get(server.address, "/quick") }
            assertTrue(server.counts.refusedConnections >= 1)
        }
        awaitUntil("the connection is closed") { server.counts.openConnections == 0 }
        assertEquals(200, client.get(server.address, "/quick").statusCode())
    }
}
