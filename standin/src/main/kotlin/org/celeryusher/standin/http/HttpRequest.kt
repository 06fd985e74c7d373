package org.celeryusher.standin.http

/**
 * An HTTP request that a stand-in has received completely.
 *
 * [target] is the path with the query as sent, without decoding. Header names are in lower case.
 */
public class HttpRequest(
    public val method: String,
    public val target: String,
    private val headers: Map<String, String>,
    public val body: ByteArray,
) {
    /** The target without the query. */
    public val path: String get() = target.substringBefore('?')

    /** Returns the value of the header [name], or null if the request does not have it. */
    public fun header(name: String): String? = headers[name.lowercase()]

    /** Returns the value of the query parameter [name] as sent, or null if the target does not have it. */
    public fun parameter(name: String): String? =
        target
            .substringAfter('?', missingDelimiterValue = "")
            .split('&')
            .firstOrNull { it.substringBefore('=') == name }
            ?.substringAfter('=', missingDelimiterValue = "")
}
