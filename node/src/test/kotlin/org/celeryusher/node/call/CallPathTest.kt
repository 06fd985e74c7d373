package org.celeryusher.node.call

import com.sun.net.httpserver.HttpExchange
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.celeryusher.node.runtime.TestFleet
import org.celeryusher.node.runtime.reply
import java.net.http.HttpResponse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Sends calls through a fleet of nodes with real connections. Guards against work under a ticket that runs twice or on another node,
 * calls that fail although another backend server could run them, crashes that are counted wrongly, and calls that a graceful stop aborts.
 */
class CallPathTest {
    private val document =
        """
        {"version":1,"defaults":{"deadlineMilliseconds":5000},
         "ranks":[{"name":"collections","guaranteedShare":0.4},{"name":"lookups","guaranteedShare":0.4}],
         "services":[{"name":"billing-desk","slots":6,"connections":130}],
         "routes":[
          {"name":"collect","method":"POST","pathPrefix":"/collections","service":"billing-desk","rank":"collections","idempotent":false},
          {"name":"look-up","method":"GET","pathPrefix":"/invoices","service":"billing-desk","rank":"lookups","idempotent":true}]}
        """.trimIndent()
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    private fun recordRun(exchange: HttpExchange): String {
        val body = exchange.requestBody.readAllBytes().decodeToString()
        runs.computeIfAbsent(body.ifEmpty { exchange.requestURI.path }) { AtomicInteger() }.incrementAndGet()
        return body
    }

    private fun runsOf(work: String): Int = runs[work]?.get() ?: 0

    private fun HttpResponse<String>.celeryusherHeader(name: String): String = headers().firstValue("Celeryusher-$name").orElse("")

    private fun TestFleet.ticket(index: Int): String {
        val answer = send(index, "POST", "/-/tickets?method=POST&path=/collections")
        assertEquals(201, answer.statusCode(), answer.body())
        return Json
            .parseToJsonElement(answer.body())
            .jsonObject
            .getValue("ticket")
            .jsonPrimitive.content
    }

    @Test
    fun repeatedCallsWithOneTicketRunOnceThroughDifferentNodes() {
        TestFleet(3, document) { _, exchange -> exchange.reply(200, "collected ${recordRun(exchange)}") }.start().use { fleet ->
            repeat(5) { round ->
                val ticket = mapOf("Celeryusher-Ticket" to fleet.ticket(round % 3))
                val answers = List(6) { fleet.send(it % 3, "POST", "/collections", "hospital-$round", ticket) }
                assertEquals(setOf("collected hospital-$round"), answers.map { it.body() }.toSet())
                assertEquals(1, runsOf("hospital-$round"))
                val reused = fleet.send(1, "POST", "/collections", "another hospital", ticket)
                assertEquals("TICKET_REUSED", reused.celeryusherHeader("Error"))
                assertEquals(0, runsOf("another hospital"))
            }
        }
    }

    @Test
    fun concurrentCallsWithOneTicketRunOnceAndReceiveTheSameAnswer() {
        TestFleet(3, document) { _, exchange -> exchange.reply(200, "collected ${recordRun(exchange)}") }.start().use { fleet ->
            val ticket = mapOf("Celeryusher-Ticket" to fleet.ticket(0))
            val answers = inParallel(12) { fleet.send(it % 3, "POST", "/collections", "port-office", ticket) }
            assertEquals(setOf("collected port-office"), answers.map { it.body() }.toSet())
            assertEquals(1, runsOf("port-office"))
        }
    }

    @Test
    fun aTicketOfAKilledNodeNeverRunsOnAnotherNode() {
        TestFleet(2, document) { _, exchange -> exchange.reply(200, "collected ${recordRun(exchange)}") }.start().use { fleet ->
            val tickets = List(8) { fleet.ticket(0) }
            runBlocking { fleet.nodes[1].halt() }
            val answers = tickets.map { fleet.send(0, "POST", "/collections", "council", mapOf("Celeryusher-Ticket" to it)) }
            val (ran, failed) = answers.partition { it.statusCode() == 200 }
            assertEquals(ran.size, runsOf("council"))
            assertTrue(failed.isNotEmpty(), "no ticket was owned by the node that was killed")
            assertEquals(setOf("unknown"), failed.map { it.celeryusherHeader("Run-Status") }.toSet())
        }
    }

    @Test
    fun refusedCallsReportTheirErrorKindAndDoNotRun() {
        TestFleet(1, document) { _, exchange -> exchange.reply(200, recordRun(exchange)) }.start().use { fleet ->
            val cases =
                listOf(
                    mapOf("Idempotency-Key" to "own-key") to "TICKET_REQUIRED",
                    mapOf("Celeryusher-Ticket" to "made-up") to "TICKET_INVALID",
                    mapOf("Celeryusher-Deadline-Milliseconds" to "soon") to "BAD_REQUEST",
                    mapOf("Celeryusher-Deadline-Milliseconds" to "0") to "DEADLINE_BEFORE_START",
                )
            for ((headers, kind) in cases) {
                val answer = fleet.send(0, "POST", "/collections", "refused", headers)
                assertEquals(kind, answer.celeryusherHeader("Error"), headers.toString())
                assertEquals("not-run", answer.celeryusherHeader("Run-Status"))
            }
            assertEquals(0, runsOf("refused"))
        }
    }

    @Test
    fun idempotentCallsSucceedAfterABackendServerIsKilled() {
        TestFleet(3, document) { index, exchange -> exchange.reply(200, "from $index ${recordRun(exchange)}") }.start().use { fleet ->
            fleet.killServer(1)
            val answers = List(40) { fleet.send(it % 3, "GET", "/invoices/$it") }
            assertEquals(setOf(200), answers.map { it.statusCode() }.toSet())
        }
    }

    @Test
    fun aRequestThatCrashedTwoBackendServersIsQuarantined() {
        val crashes = AtomicInteger()
        val releaseCrashedHandlers = CountDownLatch(1)
        lateinit var crashingFleet: TestFleet
        val answer = { index: Int, exchange: HttpExchange ->
            if (exchange.requestURI.path == "/invoices/poison") {
                crashes.incrementAndGet()
                crashingFleet.crashServer(index)
                releaseCrashedHandlers.await()
            } else {
                exchange.reply(200, recordRun(exchange))
            }
        }
        TestFleet(3, document, answer).start().use { fleet ->
            crashingFleet = fleet
            val first = fleet.send(0, "GET", "/invoices/poison")
            val second = fleet.send(0, "GET", "/invoices/poison")
            assertEquals("SERVER_CRASHED", first.celeryusherHeader("Error"))
            assertEquals("QUARANTINED", second.celeryusherHeader("Error"))
            assertEquals(2, crashes.get())
            releaseCrashedHandlers.countDown()
            assertEquals(200, fleet.send(0, "GET", "/invoices/7").statusCode())
        }
    }

    @Test
    fun aConnectionClosedByARunningBackendServerIsNotCountedAsACrash() {
        val closed = AtomicInteger()
        val answer = { _: Int, exchange: HttpExchange ->
            if (exchange.requestURI.path == "/invoices/closed") {
                closed.incrementAndGet()
                exchange.close()
            } else {
                exchange.reply(200, recordRun(exchange))
            }
        }
        TestFleet(3, document, answer).start().use { fleet ->
            repeat(3) { assertEquals("CONNECTION_LOST", fleet.send(0, "GET", "/invoices/closed").celeryusherHeader("Error")) }
            assertTrue(closed.get() > 3, "an idempotent call must be retried")
        }
    }

    @Test
    fun aGracefulStopAbortsNoCall() {
        val arrived = CountDownLatch(4)
        val release = CountDownLatch(1)
        val answer = { _: Int, exchange: HttpExchange ->
            val work = recordRun(exchange)
            if (work.startsWith("slow")) {
                arrived.countDown()
                release.await(5, TimeUnit.SECONDS)
            }
            exchange.reply(200, work)
        }
        TestFleet(2, document, answer).start().use { fleet ->
            runBlocking(Dispatchers.IO) {
                val slow = List(4) { async { fleet.send(0, "POST", "/collections", "slow-$it") } }
                arrived.await(5, TimeUnit.SECONDS)
                val stop = async { fleet.nodes[0].stop() }
                val during = List(10) { fleet.send(1, "POST", "/collections", "during-$it") }
                release.countDown()
                assertEquals(List(4) { "slow-$it" }, slow.awaitAll().map { it.body() }.sorted())
                assertEquals(setOf(200), during.map { it.statusCode() }.toSet())
                stop.await()
            }
            val after = List(10) { fleet.send(1, "POST", "/collections", "after-$it") }
            assertEquals(setOf(200), after.map { it.statusCode() }.toSet())
            assertEquals(mapOf(), runs.filter { (work, count) -> work != "/health" && count.get() != 1 })
        }
    }

    private fun <T> inParallel(
        times: Int,
        action: (Int) -> T,
    ): List<T> = runBlocking(Dispatchers.IO) { coroutineScope { List(times) { async { action(it) } }.awaitAll() } }
}
