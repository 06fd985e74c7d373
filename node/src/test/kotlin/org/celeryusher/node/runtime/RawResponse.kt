package org.celeryusher.node.runtime

import org.celeryusher.kernel.identity.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/** The bytes that a node sent on a connection, as text. */
class RawResponse(
    private val text: String,
) {
    /** The status, or null when the node closed the connection without a response. */
    val status: Int? get() =
        text
            .lineSequence()
            .first()
            .split(' ')
            .getOrNull(1)
            ?.toIntOrNull()

    /** Returns the value of the header [name], or null when there is none. */
    fun header(name: String): String? =
        text
            .substringBefore("\r\n\r\n")
            .lines()
            .find { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()

    override fun toString(): String = text
}

/** Sends [request] unchanged to [address] and returns the response, which ends when the node closes the connection. */
fun sendRaw(
    address: Address,
    request: ByteArray,
): RawResponse =
    Socket().use { socket ->
        socket.connect(InetSocketAddress(address.host, address.port), TIMEOUT_MILLISECONDS)
        socket.soTimeout = TIMEOUT_MILLISECONDS
        // A node that refuses a request may close the connection before all of it is sent.
        try {
            socket.getOutputStream().write(request)
            socket.shutdownOutput()
        } catch (_: IOException) {
            Unit
        }
        RawResponse(readAll(socket))
    }

private fun readAll(socket: Socket): String {
    val received = StringBuilder()
    val buffer = ByteArray(BUFFER_BYTES)
    try {
        while (true) {
            val count = socket.getInputStream().read(buffer)
            if (count < 0) break
            received.append(String(buffer, 0, count, Charsets.ISO_8859_1))
        }
    } catch (_: IOException) {
        return received.toString()
    }
    return received.toString()
}

private const val TIMEOUT_MILLISECONDS = 5_000
private const val BUFFER_BYTES = 8_192
