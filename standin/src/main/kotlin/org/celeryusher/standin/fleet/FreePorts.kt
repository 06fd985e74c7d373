package org.celeryusher.standin.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Finds free loopback ports below the ephemeral range, from which the system allocates ports of outgoing connections. */
public object FreePorts {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000

    /** Returns [count] different ports that are free at the time of the call. */
    public fun find(
        count: Int,
        random: Random = Random.Default,
    ): List<Int> {
        val range = LAST_PORT - FIRST_PORT
        val start = random.nextInt(range)
        val free =
            (0 until range)
                .asSequence()
                .map { FIRST_PORT + (start + it) % range }
                .filter(::isFree)
                .take(count)
                .toList()
        check(free.size == count) { "only ${free.size} of $count ports are free" }
        return free
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
