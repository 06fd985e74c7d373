package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/** An IP address and a TCP port, in text form `10.2.0.7:7400`. */
@Serializable
public data class Address(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAXIMUM_PORT = 65_535

        /** Returns the address in [text] (`host:port`), or null if the host is empty or the port is missing or outside 1 to 65535. */
        public fun parseOrNull(text: String): Address? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return if (host.isNotEmpty() && port in 1..MAXIMUM_PORT) Address(host, port) else null
        }
    }
}
