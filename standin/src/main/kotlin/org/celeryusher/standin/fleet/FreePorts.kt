package org.celeryusher.standin.fleet

import java.net.InetAddress
import java.net.ServerSocket

/** Finds free loopback ports. */
internal object FreePorts {
    /** Returns [count] different ports that are free at the time of the call. */
    fun take(count: Int): List<Int> {
        val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
        return sockets.map { socket -> socket.use { it.localPort } }
    }
}
