package org.celeryusher.standin.server

/** How a backend server's answers are damaged. The work itself ran. */
public sealed interface AnswerFault {
    /** Answers are whole. */
    public data object None : AnswerFault

    /** Only half of the announced bytes are sent, then the connection is closed. */
    public data object Truncated : AnswerFault

    /** The announced length is [missing] bytes less than the body that follows. */
    public data class ShortLength(
        public val missing: Int = 7,
    ) : AnswerFault

    /** The answer's bytes belong to the request that was answered before this one. */
    public data object Crossed : AnswerFault
}
