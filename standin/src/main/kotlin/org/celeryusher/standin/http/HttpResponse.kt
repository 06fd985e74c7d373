package org.celeryusher.standin.http

/** The response of a stand-in to an [HttpRequest]. */
public sealed interface HttpResponse {
    /** A complete response. The connection stays open. */
    public class Complete(
        public val status: Int,
        public val body: ByteArray = EMPTY_BODY,
        public val headers: List<HttpHeader> = emptyList(),
    ) : HttpResponse

    /** A response whose `Content-Length` is [declaredLength] regardless of the length of [body]. The connection is closed afterwards. */
    public class WrongLength(
        public val status: Int,
        public val body: ByteArray,
        public val declaredLength: Int,
        public val headers: List<HttpHeader> = emptyList(),
    ) : HttpResponse

    /** A response that begins with [head] and repeats [repeated] until the caller closes the connection. */
    public class Endless(
        public val head: String,
        public val repeated: ByteArray,
    ) : HttpResponse

    /** No response. The connection is closed. */
    public data object Closed : HttpResponse

    public companion object {
        private val EMPTY_BODY = ByteArray(0)

        /** Returns a complete response with [json] as its body. */
        public fun json(
            status: Int,
            json: String,
            headers: List<HttpHeader> = emptyList(),
        ): Complete = Complete(status, json.encodeToByteArray(), headers + HttpHeader("Content-Type", "application/json"))
    }
}

/** A header of a response. */
public data class HttpHeader(
    public val name: String,
    public val value: String,
)
