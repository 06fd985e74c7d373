package org.celeryusher.standin.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Finds free loopback ports below the ephemeral range, from which the system allocates ports of outgoing connections.
 *
 * A port that is only looked up can be taken by another process before it is bound. [reserve] therefore binds it at an address that nothing
 * else uses, and all lookups, in any process, pass over ports that are bound there.
 */
public object FreePorts {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000
    private val loopback = InetAddress.getLoopbackAddress()
    private val reservations = InetAddress.getByName("127.0.255.254")

    /** Returns [count] different ports that are free, and not reserved, at the time of the call. */
    public fun find(
        count: Int,
        random: Random = Random.Default,
    ): List<Int> = take(count, random) { port -> port.takeIf { isFree(port) && tryBind(reservations, port)?.close() != null } }

    /** Reserves [count] different free ports until the result is closed. */
    public fun reserve(
        count: Int,
        random: Random = Random.Default,
    ): ReservedPorts =
        ReservedPorts(
            take(count, random) { port ->
                val reservation = tryBind(reservations, port)
                // The check follows the reservation, since the holder of an earlier one may just have ended.
                if (reservation != null && !isFree(port)) reservation.close()
                reservation?.takeUnless { it.isClosed }
            },
        )

    private fun <T : Any> take(
        count: Int,
        random: Random,
        choose: (Int) -> T?,
    ): List<T> {
        val range = LAST_PORT - FIRST_PORT
        val start = random.nextInt(range)
        val taken =
            (0 until range)
                .asSequence()
                .mapNotNull { choose(FIRST_PORT + (start + it) % range) }
                .take(count)
                .toList()
        check(taken.size == count) { "only ${taken.size} of $count ports are free" }
        return taken
    }

    private fun isFree(port: Int): Boolean = tryBind(loopback, port)?.close() != null

    private fun tryBind(
        host: InetAddress,
        port: Int,
    ): ServerSocket? =
        try {
            ServerSocket(port, 1, host)
        } catch (_: IOException) {
            null
        }
}

/** Ports that no other user of [FreePorts], in any process, gets until they are released by [close]. */
public class ReservedPorts internal constructor(
    private val reservations: List<ServerSocket>,
) : AutoCloseable {
    /** The reserved ports, which are free at all loopback addresses in use. */
    public val ports: List<Int> = reservations.map { it.localPort }

    override fun close(): Unit = reservations.forEach(ServerSocket::close)
}
