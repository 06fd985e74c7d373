package org.celeryusher.node.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import org.celeryusher.kernel.configuration.CallerLimits
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.freeLoopbackAddresses
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against work for callers who have left while their requests waited at a node that got no processor time. */
class HttpListenerTest {
    private class RecordingHandler : HttpHandler {
        val handled = ConcurrentLinkedQueue<String>()

        override suspend fun answer(request: HttpRequest): HttpResponse {
            handled += request.target
            return HttpResponse(200, emptyList(), "whole".encodeToByteArray())
        }

        override fun respondToFault(
            fault: RequestFault,
            detail: String,
        ): HttpResponse = HttpResponse(400, emptyList(), ByteArray(0))
    }

    /** The load on a node that has just started: requests wait in its sockets, and some callers have left before they are read. */
    @Test
    fun aRequestWhoseCallerHasLeftIsNotHandled() {
        val handler = RecordingHandler()
        val scope = CoroutineScope(Dispatchers.Default + Job())
        val (address, blocker) = freeLoopbackAddresses(2)
        TcpNetwork().use { network ->
            HttpListener(address, network, ::CallerLimits, handler).start(scope)
            val release = blockNetworkThread(network, blocker)
            repeat(CALLERS_WHO_LEAVE) { caller -> Socket(address.host, address.port).use { send(it, "/left/$caller") } }
            val waiting = Socket(address.host, address.port).apply { send(this, "/waiting") }
            Thread.sleep(HELD_BACK_MILLISECONDS)
            release.countDown()
            waiting.use {
                assertEquals(
                    "whole",
                    it
                        .getInputStream()
                        .readBytes()
                        .decodeToString()
                        .substringAfter("\r\n\r\n"),
                )
            }
            assertEquals(listOf("/waiting"), handler.handled.toList())
        }
        scope.cancel()
    }

    /** A caller that closes only its sending side still reads the answer of a node that is not held back. */
    @Test
    fun aRequestWhoseCallerHasJustClosedItsSendingSideIsAnswered() {
        val handler = RecordingHandler()
        val scope = CoroutineScope(Dispatchers.Default + Job())
        val address = freeLoopbackAddresses(1).single()
        TcpNetwork(clock = { Moment(0) }).use { network ->
            HttpListener(address, network, ::CallerLimits, handler).start(scope)
            val answer =
                Socket(address.host, address.port).use { socket ->
                    send(socket, "/half-closed")
                    socket.shutdownOutput()
                    socket.getInputStream().readBytes().decodeToString()
                }
            assertEquals("whole", answer.substringAfter("\r\n\r\n"))
        }
        scope.cancel()
    }

    /** Holds the network thread until the returned latch is released. */
    private fun blockNetworkThread(
        network: TcpNetwork,
        address: Address,
    ): CountDownLatch {
        val isBlocked = CountDownLatch(1)
        val release = CountDownLatch(1)
        network.listen(address).acceptEach { connection ->
            isBlocked.countDown()
            release.await()
            connection.close()
        }
        Socket(address.host, address.port).use { isBlocked.await() }
        return release
    }

    private fun send(
        socket: Socket,
        target: String,
    ) {
        socket.getOutputStream().write("GET $target HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n".encodeToByteArray())
    }

    private companion object {
        const val CALLERS_WHO_LEAVE = 20

        /** Longer than a caller that has closed its sending side is waited for. */
        const val HELD_BACK_MILLISECONDS = 300L
    }
}
