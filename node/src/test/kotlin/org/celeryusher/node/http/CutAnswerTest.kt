package org.celeryusher.node.http

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Guards against an answer that a server has cut being passed on as a whole one. */
class CutAnswerTest {
    private class Case(
        val name: String,
        val answer: String,
        /** The first length from which on a closed connection leaves a whole answer. */
        val wholeFrom: Int = answer.length,
    )

    private val fields = "Attempt: 1\r\nNote: x\r\n"
    private val streamHead = "HTTP/1.1 200 OK\r\n$fields\r\n"
    private val cases =
        listOf(
            Case("with a length", "HTTP/1.1 200 OK\r\n${fields}Content-Length: 12\r\n\r\ntwelve bytes"),
            Case("with a length of zero", "HTTP/1.1 200 OK\r\n${fields}Content-Length: 0\r\n\r\n"),
            Case(
                "in chunks",
                "HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n6;a=b\r\nsecond\r\n0\r\nTrailer: 1\r\n\r\n",
            ),
            Case("after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n${fields}Content-Length: 2\r\n\r\nok"),
            Case("of a refusal", "HTTP/1.1 503 Service Unavailable\r\nShed: true\r\n${fields}Content-Length: 0\r\n\r\n"),
            Case("a stream that ends with its connection", "${streamHead}all of the stream", wholeFrom = streamHead.length),
        )

    @Test
    fun anAnswerThatIsCutAnywhereIsNotWhole() {
        for (case in cases) {
            for (length in 0 until case.answer.length) {
                val result = exchange(case.answer.take(length), isReset = false)
                val isWhole = result is ExchangeResult.Answered
                assertEquals(length >= case.wholeFrom, isWhole, "${case.name}, closed after $length bytes: ${case.answer.take(length)}")
            }
            assertIs<ExchangeResult.Answered>(exchange(case.answer, isReset = false), case.name)
        }
    }

    @Test
    fun aStreamWhoseConnectionIsResetIsNotWhole() {
        for (length in 0..streamHead.length + 5) {
            assertIs<ExchangeResult.Broken>(exchange("${streamHead}all of the stream".take(length), isReset = true), "$length bytes")
        }
    }

    private fun exchange(
        sent: String,
        isReset: Boolean,
    ): ExchangeResult =
        RawServer { socket ->
            socket.getInputStream().read(ByteArray(1_000))
            socket.getOutputStream().write(sent.encodeToByteArray())
            if (isReset) socket.setSoLinger(true, 0)
        }.use { server ->
            TcpNetwork().use { network ->
                val pool = HttpConnectionPool(server.address, network, ProcessClock.SYSTEM, ConnectionLimits(maximumBodyBytes = 1_000))
                runBlocking { withTimeout(20.seconds) { pool.exchange(HttpRequest("GET", "/", emptyList(), ByteArray(0), "host")) } }
            }
        }
}
