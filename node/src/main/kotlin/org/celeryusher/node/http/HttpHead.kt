package org.celeryusher.node.http

import java.io.IOException

/** Thrown for a message with invalid HTTP/1.1 syntax or an ambiguous body length; its connection must not be used again. */
internal class MalformedMessageException(
    message: String,
) : IOException(message)

/** The request line and the header fields of an HTTP/1.1 request. */
internal class RequestHead(
    val method: String,
    val target: String,
    val version: String,
    val headers: List<HeaderField>,
) {
    /** Whether the connection stays open for another request. */
    val isKeepAlive: Boolean get() = version == HTTP_1_1 && !headers.hasToken("Connection", "close")

    /** Returns how the body of the request is delimited. */
    fun framing(): BodyFraming =
        when {
            headers.values("Transfer-Encoding").isNotEmpty() -> chunkedFraming(headers, version)
            else -> contentLength(headers)?.let(BodyFraming::Length) ?: BodyFraming.Length(0)
        }

    companion object {
        /** Returns the head in [text], which ends before the empty line. */
        fun parse(text: String): RequestHead {
            val lines = text.split("\r\n")
            val parts = lines.first().split(' ')
            if (parts.size != REQUEST_LINE_PARTS) throw MalformedMessageException("the request line is not method, target and version")
            val (method, target, version) = parts
            if (method.isEmpty() || !method.all(::isTokenCharacter)) throw MalformedMessageException("the method is not a token")
            if (target.isEmpty()) throw MalformedMessageException("the target is empty")
            if (version != HTTP_1_1 && version != HTTP_1_0) throw MalformedMessageException("the protocol is not HTTP/1.1")
            return RequestHead(method, target, version, parseFields(lines))
        }

        private const val REQUEST_LINE_PARTS = 3
    }
}

/** The status line and the header fields of an HTTP/1.1 response. */
internal class ResponseHead(
    val status: Int,
    val version: String,
    val headers: List<HeaderField>,
) {
    /** Whether the connection stays open for another exchange. */
    val isKeepAlive: Boolean get() = version == HTTP_1_1 && !headers.hasToken("Connection", "close")

    /** Whether this is an interim response (status 1xx), which is followed by another response. */
    val isInterim: Boolean get() = status in FIRST_INTERIM..LAST_INTERIM

    /** Returns how the body of the response to a request with [method] is delimited. */
    fun framing(method: String): BodyFraming =
        when {
            method == "HEAD" || status == NO_CONTENT || status == NOT_MODIFIED -> BodyFraming.Length(0)
            headers.values("Transfer-Encoding").isNotEmpty() -> chunkedFraming(headers, version)
            else -> contentLength(headers)?.let(BodyFraming::Length) ?: BodyFraming.UntilClose
        }

    companion object {
        private const val FIRST_INTERIM = 100
        private const val LAST_INTERIM = 199
        private const val NO_CONTENT = 204
        private const val NOT_MODIFIED = 304
        private const val FIRST_FINAL = 200
        private const val LAST_FINAL = 599
        private const val MAXIMUM_QUOTED = 60
        private val statusLine = Regex("""(HTTP/1\.[01]) ([1-5][0-9]{2})( .*)?""")

        /** Returns whether [status] can be that of a final response. */
        fun isFinalStatus(status: Int): Boolean = status in FIRST_FINAL..LAST_FINAL

        /** Returns the head in [text], which ends before the empty line. */
        fun parse(text: String): ResponseHead {
            val lines = text.split("\r\n")
            val match =
                statusLine.matchEntire(lines.first())
                    ?: throw MalformedMessageException("\"${lines.first().take(MAXIMUM_QUOTED)}\" is not a status line of HTTP/1.1")
            return ResponseHead(match.groupValues[2].toInt(), match.groupValues[1], parseFields(lines))
        }
    }
}

/** How a message body is delimited. */
internal sealed interface BodyFraming {
    /** By its length of [bytes]. */
    data class Length(
        val bytes: Long,
    ) : BodyFraming

    /** By the last chunk of a chunked transfer encoding. */
    data object Chunked : BodyFraming

    /** By the end of the connection. */
    data object UntilClose : BodyFraming
}

private const val HTTP_1_1 = "HTTP/1.1"
private const val HTTP_1_0 = "HTTP/1.0"
private const val MAXIMUM_CONTENT_LENGTH_DIGITS = 18
private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"

private fun isTokenCharacter(character: Char): Boolean =
    character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in TOKEN_SYMBOLS

private fun parseFields(lines: List<String>): List<HeaderField> =
    (1 until lines.size).map { index ->
        val line = lines[index]
        val colon = line.indexOf(':')
        if (colon < 1) throw MalformedMessageException("a header line has no field name")
        val name = line.substring(0, colon)
        if (!name.all(::isTokenCharacter)) throw MalformedMessageException("the name of a header field is not a token")
        val value = line.substring(colon + 1).trim(' ', '\t')
        if (value.any { it == '\r' || it == '\n' || it == '\u0000' }) {
            throw MalformedMessageException(
                "a header value has a control character",
            )
        }
        HeaderField(name, value)
    }

// A message with both a length and a transfer encoding, or with two lengths, can be parsed in two ways, which allows request smuggling.
private fun chunkedFraming(
    headers: List<HeaderField>,
    version: String,
): BodyFraming {
    val isChunked = headers.values("Transfer-Encoding").singleOrNull()?.equals("chunked", ignoreCase = true) == true
    if (!isChunked || version != HTTP_1_1) throw MalformedMessageException("the transfer encoding is not chunked")
    if (headers.values("Content-Length").isNotEmpty()) throw MalformedMessageException("there is a length beside a transfer encoding")
    return BodyFraming.Chunked
}

private fun contentLength(headers: List<HeaderField>): Long? {
    val values = headers.values("Content-Length")
    if (values.isEmpty()) return null
    val digits = values.singleOrNull() ?: throw MalformedMessageException("there is more than one length")
    if (digits.isEmpty() || digits.length > MAXIMUM_CONTENT_LENGTH_DIGITS || !digits.all { it in '0'..'9' }) {
        throw MalformedMessageException("the length \"$digits\" is not a number")
    }
    return digits.toLong()
}
