package org.celeryusher.standin.http

/**
 * One HTTP request that a stand-in received whole.
 *
 * [target] is the path with its query as sent, without decoding. Header names are in lower case.
 */
public class HttpCall(
    public val method: String,
    public val target: String,
    private val headers: Map<String, String>,
    public val body: ByteArray,
) {
    /** The target without its query. */
    public val path: String get() = target.substringBefore('?')

    /** Returns the value of the header [name], or null when the request has none. */
    public fun header(name: String): String? = headers[name.lowercase()]

    /** Returns the value of the query parameter [name] as sent, or null when the target has none. */
    public fun parameter(name: String): String? =
        target
            .substringAfter('?', missingDelimiterValue = "")
            .split('&')
            .firstOrNull { it.substringBefore('=') == name }
            ?.substringAfter('=', missingDelimiterValue = "")
}
