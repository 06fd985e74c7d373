package org.celeryusher.node.call

import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.http.HeaderField
import org.celeryusher.node.http.value

/** The request of a call, as a node received it from a caller or another node. */
public class CallRequest(
    public val method: String,
    /** Path and query, as received. */
    public val target: String,
    /** The end-to-end header fields, without those that concern only the connection (hop-by-hop). */
    public val headers: List<HeaderField>,
    public val body: ByteArray,
    public val arrived: Moment,
    /** The `Host` header as received, or empty when there is none. */
    public val host: String = "",
) {
    /** The target without its query. */
    public val path: String get() = target.substringBefore('?')

    /** The host name in [host] without the port, in lower case, or null when there is none. */
    public val hostName: String? get() = host.substringBeforeLast(':').lowercase().ifEmpty { null }

    /** Returns the first value of the header [name], ignoring case, or null. */
    public fun header(name: String): String? = headers.value(name)
}
