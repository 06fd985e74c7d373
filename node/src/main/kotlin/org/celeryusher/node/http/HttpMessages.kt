package org.celeryusher.node.http

/** A complete request, as a listener has received it or as a client sends it. */
internal class HttpRequest(
    val method: String,
    val target: String,
    /** The header fields as received. A request to be sent has no `Host` and `Content-Length`, which are added on encoding. */
    val headers: List<HeaderField>,
    val body: ByteArray,
    val host: String,
)

/** A complete response. */
internal class HttpResponse(
    val status: Int,
    val headers: List<HeaderField>,
    val body: ByteArray,
)

/** Encodes complete messages with a `Content-Length`, as one part or, with a large body, as two that need no copy of it. */
internal object HttpWriter {
    private val reasonPhrases =
        mapOf(
            200 to "OK",
            201 to "Created",
            400 to "Bad Request",
            404 to "Not Found",
            408 to "Request Timeout",
            413 to "Content Too Large",
            429 to "Too Many Requests",
            431 to "Request Header Fields Too Large",
            500 to "Internal Server Error",
            502 to "Bad Gateway",
            503 to "Service Unavailable",
            504 to "Gateway Timeout",
        )

    /** Returns the encoded [request]. */
    fun encode(request: HttpRequest): List<ByteArray> {
        val head =
            buildString(EXPECTED_HEAD_CHARACTERS) {
                append(request.method)
                    .append(' ')
                    .append(request.target)
                    .append(" HTTP/1.1\r\nHost: ")
                    .append(request.host)
                    .append("\r\n")
                appendFields(request.headers)
                if (request.body.isNotEmpty() || request.method in METHODS_WITH_BODY) appendLength(request.body.size)
                append("\r\n")
            }
        return partsOf(head.toByteArray(Charsets.ISO_8859_1), request.body)
    }

    /**
     * Returns the encoded [response] to a request with [method]; a response to `HEAD` has no body.
     *
     * Unless [isKeepAlive], the response announces that the connection is closed.
     */
    fun encode(
        response: HttpResponse,
        method: String,
        isKeepAlive: Boolean,
    ): List<ByteArray> {
        val head =
            buildString(EXPECTED_HEAD_CHARACTERS) {
                append("HTTP/1.1 ")
                    .append(response.status)
                    .append(' ')
                    .append(reasonPhrases[response.status].orEmpty())
                    .append("\r\n")
                appendFields(response.headers)
                if (!isKeepAlive) append("Connection: close\r\n")
                if (response.status != NO_CONTENT && response.status != NOT_MODIFIED && method != "HEAD") appendLength(response.body.size)
                append("\r\n")
            }
        val bytes = head.toByteArray(Charsets.ISO_8859_1)
        return if (method == "HEAD") listOf(bytes) else partsOf(bytes, response.body)
    }

    private fun partsOf(
        head: ByteArray,
        body: ByteArray,
    ): List<ByteArray> = if (body.size > LARGEST_COPIED_BODY_BYTES) listOf(head, body) else listOf(head + body)

    private fun StringBuilder.appendFields(fields: List<HeaderField>) {
        for (field in fields) append(field.name).append(": ").append(field.value).append("\r\n")
    }

    private fun StringBuilder.appendLength(bytes: Int) {
        append("Content-Length: ").append(bytes).append("\r\n")
    }

    private const val EXPECTED_HEAD_CHARACTERS = 512
    private const val LARGEST_COPIED_BODY_BYTES = 131_072
    private const val NO_CONTENT = 204
    private const val NOT_MODIFIED = 304
    private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
}
