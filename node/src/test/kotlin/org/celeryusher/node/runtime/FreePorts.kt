package org.celeryusher.node.runtime

import org.celeryusher.kernel.identity.Address
import java.net.InetAddress
import java.net.ServerSocket

/** Returns [count] loopback addresses with different ports that were free a moment ago. */
fun freeLoopbackAddresses(count: Int): List<Address> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")) }
    return sockets.map { Address("127.0.0.1", it.localPort) }.also { sockets.forEach(ServerSocket::close) }
}
