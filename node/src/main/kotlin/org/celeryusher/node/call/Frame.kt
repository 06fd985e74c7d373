@file:OptIn(ExperimentalSerializationApi::class)

package org.celeryusher.node.call

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.celeryusher.kernel.error.ErrorKind

/** One message on a connection that carries calls between nodes. Answers are matched to requests by [exchange]. */
@Serializable
public sealed interface Frame {
    public val exchange: Long

    /** A call for the guard to run. */
    @Serializable
    @SerialName("c")
    public class Call(
        @SerialName("x") override val exchange: Long,
        /** The process start of the guard that the proxy means; a guard of another life refuses the call as not run. */
        @SerialName("i") public val incarnationStart: Long?,
        @SerialName("a") public val attempt: String,
        @SerialName("r") public val rankPosition: Int,
        @SerialName("m") public val method: String,
        @SerialName("t") public val target: String,
        @SerialName("h") public val headers: List<HeaderField>,
        @ByteString
        @SerialName("b")
        public val body: ByteArray,
        @SerialName("d") public val millisecondsLeft: Long,
        @SerialName("n") public val route: String,
        @SerialName("s") public val ticket: String? = null,
    ) : Frame

    /** The whole answer of a backend server. */
    @Serializable
    @SerialName("a")
    public class Answer(
        @SerialName("x") override val exchange: Long,
        @SerialName("s") public val status: Int,
        @SerialName("h") public val headers: List<HeaderField>,
        @ByteString
        @SerialName("b")
        public val body: ByteArray,
        /** The length that the body must have, as a check against torn answers. */
        @SerialName("l") public val bodyLength: Int,
    ) : Frame

    /** A call that ended without an answer. */
    @Serializable
    @SerialName("f")
    public class Failure(
        @SerialName("x") override val exchange: Long,
        @SerialName("k") public val kind: ErrorKind,
        @SerialName("d") public val detail: String,
        @SerialName("w") public val retryAfterMilliseconds: Long? = null,
    ) : Frame

    /** The proxy no longer wants the answer of [exchange]. */
    @Serializable
    @SerialName("x")
    public class Cancel(
        @SerialName("x") override val exchange: Long,
    ) : Frame
}
