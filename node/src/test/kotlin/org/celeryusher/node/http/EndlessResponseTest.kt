package org.celeryusher.node.http

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a server whose response never ends: such bytes must end the exchange and its connection after a bounded amount.
 *
 * The server of each case sends the head of the case once and then repeats the rest until its connection is closed.
 */
class EndlessResponseTest {
    private class Case(
        val name: String,
        val repeated: String,
        val head: String = "",
    )

    private val filler = "x".repeat(1_000)
    private val cases =
        listOf(
            Case("bytes that are no head", filler),
            Case("empty lines before the head", "\r\n"),
            Case("header fields", "Note: $filler\r\n", "HTTP/1.1 200 OK\r\n"),
            Case("interim responses", "HTTP/1.1 100 Continue\r\n\r\n"),
            Case("responses to another request", "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 2\r\n\r\nok"),
            Case("a body that ends with the connection", filler, "HTTP/1.1 200 OK\r\n\r\n"),
            Case("a body longer than the limit", filler, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"),
            Case("chunks of one byte", "1\r\nx\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
            Case("large chunks", "3e8\r\n$filler\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
            Case("the line of a chunk", filler, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
            Case("trailer fields", "Note: x\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"),
        )

    @Test
    fun anEndlessResponseEndsItsExchangeAndItsConnection() {
        for (case in cases) {
            val sent = AtomicLong()
            RawServer { socket -> sendWithoutEnd(socket, case, sent) }.use { server ->
                TcpNetwork().use { network ->
                    val pool =
                        HttpConnectionPool(server.address, network, ProcessClock.SYSTEM, ConnectionLimits(maximumBodyBytes = BODY_LIMIT))
                    val request = HttpRequest("GET", "/", emptyList(), ByteArray(0), "host")
                    val result =
                        runBlocking {
                            withTimeout(HANG_LIMIT) {
                                pool.exchange(request) { head ->
                                    if (head.headers.value("Attempt") ==
                                        "other"
                                    ) {
                                        ResponseOwner.OTHER_REQUEST
                                    } else {
                                        ResponseOwner.THIS_REQUEST
                                    }
                                }
                            }
                        }
                    assertIs<ExchangeResult.Broken>(result, case.name)
                    server.awaitClose()
                    assertTrue(sent.get() <= SENT_LIMIT, "${case.name}: the server could send ${sent.get()} bytes")
                }
            }
        }
    }

    @Test
    fun bytesAfterAWholeResponseAreNotGivenToTheNextRequest() {
        val second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
        RawServer { socket ->
            socket.getInputStream().read(ByteArray(1_000))
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue$second".encodeToByteArray())
            socket.getInputStream().read()
        }.use { server ->
            TcpNetwork().use { network ->
                val pool = HttpConnectionPool(server.address, network, ProcessClock.SYSTEM, ConnectionLimits(maximumBodyBytes = BODY_LIMIT))
                repeat(3) {
                    val result =
                        runBlocking {
                            withTimeout(
                                HANG_LIMIT,
                            ) { pool.exchange(HttpRequest("GET", "/", emptyList(), ByteArray(0), "host")) }
                        }
                    assertEquals("true", assertIs<ExchangeResult.Answered>(result).response.body.decodeToString())
                }
            }
        }
    }

    private fun sendWithoutEnd(
        socket: Socket,
        case: Case,
        sent: AtomicLong,
    ) {
        socket.getInputStream().read(ByteArray(1_000))
        val output = socket.getOutputStream()
        output.write(case.head.encodeToByteArray())
        val block = case.repeated.repeat(BLOCK_BYTES / case.repeated.length).encodeToByteArray()
        while (true) {
            output.write(block)
            sent.addAndGet(block.size.toLong())
        }
    }

    private companion object {
        const val BODY_LIMIT = 262_144
        const val BLOCK_BYTES = 8_000

        /** The body limit and the buffers of both sockets. */
        const val SENT_LIMIT = 16_000_000

        /** Only ends a test that would hang otherwise. */
        val HANG_LIMIT = 20.seconds
    }
}
