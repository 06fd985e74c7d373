package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/** An IP address and a TCP port, in text form `10.2.0.7:7400`. */
@Serializable
public data class Address(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"

    /** Whether a connection to this address can be tried: the host is an IP address and the port is in 1 to 65535. */
    public val isUsable: Boolean get() = port in 1..MAXIMUM_PORT && (isIpv4(host) || isIpv6(host))

    public companion object {
        private const val MAXIMUM_PORT = 65_535
        private const val MAXIMUM_OCTET = 255
        private val ipv4Pattern = Regex("""\d{1,3}(\.\d{1,3}){3}""")
        private val ipv6Pattern = Regex("[0-9a-fA-F:]*:[0-9a-fA-F:.]*")

        private fun isIpv4(host: String): Boolean = ipv4Pattern.matches(host) && host.split('.').all { it.toInt() <= MAXIMUM_OCTET }

        private fun isIpv6(host: String): Boolean = ipv6Pattern.matches(host)

        /** Returns the address in [text] (`host:port`), or null if the host is empty or the port is missing or outside 1 to 65535. */
        public fun parseOrNull(text: String): Address? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return if (host.isNotEmpty() && port in 1..MAXIMUM_PORT) Address(host, port) else null
        }
    }
}
