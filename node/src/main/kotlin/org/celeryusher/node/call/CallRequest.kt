package org.celeryusher.node.call

import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.http.HeaderField
import org.celeryusher.node.http.value

/** One call as a node received it from a caller. */
public class CallRequest(
    public val method: String,
    /** Path and query, as received. */
    public val target: String,
    /** The header fields that belong to the call and not to the connection. */
    public val headers: List<HeaderField>,
    public val body: ByteArray,
    public val arrived: Moment,
    /** The host that the caller named, as received; empty when it named none. */
    public val host: String = "",
) {
    /** The target without its query. */
    public val path: String get() = target.substringBefore('?')

    /** The name in [host] without the port, in lower case, or null when the caller named none. */
    public val hostName: String? get() = host.substringBeforeLast(':').lowercase().ifEmpty { null }

    /** Returns the first value of the header [name], ignoring case, or null. */
    public fun header(name: String): String? = headers.value(name)
}
