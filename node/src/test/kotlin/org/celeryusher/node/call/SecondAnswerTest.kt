package org.celeryusher.node.call

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.http.ConnectionLimits
import org.celeryusher.node.http.HeaderField
import org.celeryusher.node.http.HttpConnectionPool
import org.celeryusher.node.http.RawServer
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Guards against a late second copy of an answer counting as the answer to the next request on the connection. */
class SecondAnswerTest {
    private class Case(
        val name: String,
        val first: String,
        val isKept: Boolean,
        val headers: CallHeaders = CallHeaders(attempt = "Attempt", shed = "Shed"),
    )

    private val withoutIds = CallHeaders(shed = "Shed")
    private val cases =
        listOf(
            Case("refusal without an id", "503 Full\r\nShed: 1\r\nContent-Length: 0", isKept = false),
            Case("refusal with its id", "503 Full\r\nShed: 1\r\nAttempt: a-0\r\nContent-Length: 0", isKept = true),
            Case("refusal with a body and no id", "429 Many\r\nShed: 1\r\nContent-Length: 2", isKept = false),
            Case("other server without an id", "421 Misdirected\r\nContent-Length: 0", isKept = false),
            Case("refusal in chunks without an id", "503 Full\r\nShed: 1\r\nTransfer-Encoding: chunked", isKept = false),
            Case("answer without an id", "200 OK\r\nContent-Length: 2", isKept = false),
            Case("answer with its id", "200 OK\r\nAttempt: a-0\r\nContent-Length: 2", isKept = true),
            Case("answer of a failure with its id", "500 Error\r\nAttempt: a-0\r\nContent-Length: 0", isKept = true),
            Case("refusal where there are no ids", "503 Full\r\nShed: 1\r\nContent-Length: 0", isKept = false, withoutIds),
            Case("other server where there are no ids", "421 Misdirected\r\nContent-Length: 0", isKept = false, withoutIds),
            Case("refusal with the id of nobody", "503 Full\r\nShed: 1\r\nAttempt: a-9\r\nContent-Length: 0", isKept = false),
        )

    @Test
    fun theNextRequestIsAnsweredByItsOwnAnswer() {
        for (case in cases) {
            val connections = AtomicInteger()
            RawServer { serve(it, case, connections) }.use { server ->
                TcpNetwork().use { network ->
                    val pool =
                        HttpConnectionPool(server.address, network, ProcessClock.SYSTEM, ConnectionLimits(maximumBodyBytes = 1_000))
                    val client = BackendServerClient(pool, server.address, case.headers)
                    call(client, "a-0")
                    val second = call(client, "a-1")
                    assertEquals(200, assertIs<CallResult.Answered>(second, "${case.name}: $second").status, case.name)
                    assertEquals("ran", second.body.decodeToString(), case.name)
                    assertEquals(if (case.isKept) 1 else 2, connections.get(), "${case.name}: connections")
                }
            }
        }
    }

    @Test
    fun aRefusalWithTheIdOfAnotherAttemptProvesNothing() {
        val connections = AtomicInteger()
        val forged = Case("", "503 Full\r\nShed: 1\r\nAttempt: a-9\r\nContent-Length: 0", isKept = false)
        RawServer { serve(it, forged, connections) }.use { server ->
            TcpNetwork().use { network ->
                val pool = HttpConnectionPool(server.address, network, ProcessClock.SYSTEM, ConnectionLimits(maximumBodyBytes = 1_000))
                val result = call(BackendServerClient(pool, server.address, forged.headers), "a-0")
                assertEquals(ErrorKind.CONNECTION_LOST, assertIs<CallResult.Failed>(result).kind)
            }
        }
    }

    private fun call(
        client: BackendServerClient,
        attempt: String,
    ): CallResult =
        runBlocking {
            val request = CallRequest("POST", "/book", listOf(HeaderField("Attempt", attempt)), ByteArray(3), Moment(0))
            withTimeout(20.seconds) { client.run(request, millisecondsLeft = 1_000, expected = null).result }
        }

    /** Answers the first request as [case] says, and again once the next request on the connection is in, which it runs. */
    private fun serve(
        socket: Socket,
        case: Case,
        connections: AtomicInteger,
    ) {
        val isFirst = connections.incrementAndGet() == 1
        val input = socket.getInputStream()
        val output = socket.getOutputStream()
        val body =
            if ("chunked" in case.first) {
                "0\r\n\r\n"
            } else if ("Content-Length: 2" in case.first) {
                "xy"
            } else {
                ""
            }
        val first = "HTTP/1.1 ${case.first}\r\n\r\n$body".encodeToByteArray()
        if (input.read(ByteArray(2_000)) < 0) return
        if (isFirst) {
            output.write(first)
            if ("a-9" in case.first) return
            if (input.read(ByteArray(2_000)) < 0) return
            output.write(first)
        }
        output.write("HTTP/1.1 200 OK\r\nAttempt: a-1\r\nContent-Length: 3\r\n\r\nran".encodeToByteArray())
        input.read()
    }
}
