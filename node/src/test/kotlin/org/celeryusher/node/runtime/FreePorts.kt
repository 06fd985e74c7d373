package org.celeryusher.node.runtime

import org.celeryusher.kernel.identity.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

private const val FIRST_PORT = 10_000
private const val LAST_PORT = 30_000
private val nextPort = AtomicInteger((ProcessHandle.current().pid() * 97 % (LAST_PORT - FIRST_PORT)).toInt())

/** Returns [count] loopback addresses with distinct free ports below the ephemeral port range of outgoing connections. */
fun freeLoopbackAddresses(count: Int): List<Address> =
    generateSequence { FIRST_PORT + Math.floorMod(nextPort.getAndIncrement(), LAST_PORT - FIRST_PORT) }
        .take(LAST_PORT - FIRST_PORT)
        .filter(::isFree)
        .take(count)
        .map { Address("127.0.0.1", it) }
        .toList()

private fun isFree(port: Int): Boolean =
    try {
        ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).close()
        true
    } catch (_: IOException) {
        false
    }
