package org.celeryusher.standin.http

/** What a stand-in sends back for one [HttpCall]. */
public sealed interface HttpReply {
    /** A complete answer; the connection stays open. */
    public class Whole(
        public val status: Int,
        public val body: ByteArray = EMPTY_BODY,
        public val headers: List<HttpHeader> = emptyList(),
    ) : HttpReply

    /** An answer that announces [declaredLength] bytes, sends [body] and closes the connection. */
    public class WrongLength(
        public val status: Int,
        public val body: ByteArray,
        public val declaredLength: Int,
        public val headers: List<HttpHeader> = emptyList(),
    ) : HttpReply

    /** No answer: the connection is closed. */
    public data object Closed : HttpReply

    public companion object {
        private val EMPTY_BODY = ByteArray(0)

        /** Returns a whole answer with [json] as its body. */
        public fun json(
            status: Int,
            json: String,
            headers: List<HttpHeader> = emptyList(),
        ): Whole = Whole(status, json.encodeToByteArray(), headers + HttpHeader("Content-Type", "application/json"))
    }
}

/** One header of an answer. */
public data class HttpHeader(
    public val name: String,
    public val value: String,
)
