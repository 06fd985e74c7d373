package org.celeryusher.standin.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/** Finds free loopback ports below the range from which the system takes ports for outgoing connections. */
internal object FreePorts {
    private const val FIRST_PORT = 10_000
    private const val LAST_PORT = 30_000
    private val next = AtomicInteger((ProcessHandle.current().pid() * 97 % (LAST_PORT - FIRST_PORT)).toInt())

    /** Returns [count] different ports that are free at the time of the call. */
    fun take(count: Int): List<Int> =
        generateSequence { FIRST_PORT + Math.floorMod(next.getAndIncrement(), LAST_PORT - FIRST_PORT) }
            .take(LAST_PORT - FIRST_PORT)
            .filter(::isFree)
            .take(count)
            .toList()
            .also { check(it.size == count) { "only ${it.size} of $count ports are free between $FIRST_PORT and $LAST_PORT" } }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
