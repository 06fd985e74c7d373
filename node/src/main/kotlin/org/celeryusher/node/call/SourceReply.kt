package org.celeryusher.node.call

/** The outcome of a [Frame.SourceQuery]. */
internal sealed interface SourceReply {
    class Answered(
        val update: Frame.SourceUpdate,
    ) : SourceReply

    /** There is no answer for [reason]. */
    data class Unanswered(
        val reason: String,
        /** The bytes that arrived on the connection meanwhile, of this answer or of others. */
        val receivedBytes: Long = 0,
    ) : SourceReply
}
