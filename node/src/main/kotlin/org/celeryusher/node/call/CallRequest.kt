package org.celeryusher.node.call

import org.celeryusher.kernel.time.Moment

/** One call as a node received it from a caller. */
public class CallRequest(
    public val method: String,
    /** Path and query, as received. */
    public val target: String,
    public val headers: List<HeaderField>,
    public val body: ByteArray,
    public val arrived: Moment,
) {
    /** The target without its query. */
    public val path: String get() = target.substringBefore('?')

    /** Returns the first value of the header [name], ignoring case, or null. */
    public fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}
