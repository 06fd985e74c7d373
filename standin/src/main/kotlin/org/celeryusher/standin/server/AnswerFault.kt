package org.celeryusher.standin.server

/** A way in which a backend server stand-in damages its answers. The work of the call has run nevertheless. */
public sealed interface AnswerFault {
    /** Answers are not damaged. */
    public data object None : AnswerFault

    /** Only half of the bytes declared by `Content-Length` are sent, then the connection is closed. */
    public data object Truncated : AnswerFault

    /** The `Content-Length` is [missingBytes] bytes less than the length of the body that follows. */
    public data class ShortLength(
        public val missingBytes: Int = 7,
    ) : AnswerFault

    /** The body is that of the previous answer, so it belongs to another request. */
    public data object PreviousBody : AnswerFault
}
