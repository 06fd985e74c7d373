package org.celeryusher.node.http

import org.celeryusher.kernel.identity.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Serves each connection with [serve] until it fails or the connection is closed. */
internal class RawServer(
    private val serve: (Socket) -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val workers = mutableListOf<Thread>()
    private val acceptor = thread(isDaemon = true) { acceptAll() }

    val address: Address get() = Address("127.0.0.1", listener.localPort)

    /** Waits until the clients have closed all connections. */
    fun awaitClose(): Unit = synchronized(workers) { workers.toList() }.forEach(Thread::join)

    override fun close() {
        listener.close()
        acceptor.join()
    }

    private fun acceptAll() {
        while (!listener.isClosed) {
            val socket = runCatching { listener.accept() }.getOrNull() ?: return
            synchronized(workers) { workers += thread(isDaemon = true) { serveUntilClosed(socket) } }
        }
    }

    private fun serveUntilClosed(socket: Socket) {
        try {
            socket.use(serve)
        } catch (_: IOException) {
            // The client closed the connection.
        }
    }
}
