package org.celeryusher.node.source

import kotlinx.coroutines.runBlocking
import org.celeryusher.node.http.ConnectionLimits
import org.celeryusher.node.http.HttpConnectionPool
import org.celeryusher.node.http.RawServer
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class HttpPlatformTransportTest {
    /** Guards against a document that is given up, and read again from its start, because it arrives slowly. */
    @Test
    fun aResponseThatArrivesIsAwaitedBeyondItsTimeout() {
        for ((parts, isWhole) in listOf(PARTS to true, 1 to false, 0 to false)) {
            RawServer { socket ->
                socket.getInputStream().read(ByteArray(1_000))
                val output = socket.getOutputStream()
                if (parts > 0) output.write("HTTP/1.1 200 OK\r\nContent-Length: ${PARTS * PART.length}\r\n\r\n".encodeToByteArray())
                repeat(parts) {
                    output.write(PART.encodeToByteArray())
                    output.flush()
                    Thread.sleep(PART_MILLISECONDS)
                }
                socket.getInputStream().read()
            }.use { server ->
                TcpNetwork().use { network ->
                    val clock = ProcessClock.SYSTEM
                    val pool = HttpConnectionPool(server.address, network, clock, ConnectionLimits(maximumBodyBytes = 1_000))
                    val result = runBlocking { HttpPlatformTransport(pool, server.address, clock).get("/", TIMEOUT) }
                    assertEquals(isWhole, result is PlatformCallResult.Answered, "$parts parts: $result")
                }
            }
        }
    }

    private companion object {
        const val PARTS = 12
        const val PART = "part"
        const val PART_MILLISECONDS = 40L
        val TIMEOUT = 200.milliseconds
    }
}
