@file:OptIn(ExperimentalSerializationApi::class)

package org.celeryusher.node.call

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptReference
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.node.http.HeaderField

/** One message on a connection that carries calls between nodes. Answers are matched to requests by [exchange]. */
@Serializable
public sealed interface Frame {
    public val exchange: Long

    /** The first frame of a guard on each new connection: which life of which process this is, and what its clock shows. */
    @Serializable
    @SerialName("o")
    public class Hello(
        @SerialName("x") override val exchange: Long,
        @SerialName("l") public val processStart: Long,
        @SerialName("u") public val uptime: Uptime,
    ) : Frame

    /** A call for the guard to run. */
    @Serializable
    @SerialName("c")
    public class Call(
        @SerialName("x") override val exchange: Long,
        @SerialName("a") public val reference: AttemptReference,
        @SerialName("n") public val route: RouteName,
        @SerialName("r") public val rankPosition: Int,
        @SerialName("i") public val idempotent: Boolean,
        @SerialName("m") public val method: String,
        @SerialName("t") public val target: String,
        @SerialName("h") public val headers: List<HeaderField>,
        @ByteString
        @SerialName("b")
        public val body: ByteArray,
        @SerialName("k") public val ticket: String? = null,
        @SerialName("s") public val suspected: Boolean = false,
        /** The backend server that the proxy has chosen; another one at the same address must not run the call. */
        @SerialName("v") public val server: InstanceName? = null,
        /** How long the answer has its full worth, counted from the arrival of this frame; null when that time has passed already. */
        @SerialName("f") public val targetMilliseconds: Long? = null,
        @SerialName("o") public val host: String = "",
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
        @SerialName("g") public val load: GuardLoad? = null,
        @SerialName("u") public val uptime: Uptime? = null,
    ) : Frame

    /** A call that ended without an answer. */
    @Serializable
    @SerialName("f")
    public class Failure(
        @SerialName("x") override val exchange: Long,
        @SerialName("k") public val kind: ErrorKind,
        @SerialName("d") public val detail: String,
        @SerialName("w") public val retryAfterMilliseconds: Long? = null,
        @SerialName("g") public val load: GuardLoad? = null,
        @SerialName("u") public val uptime: Uptime? = null,
        /** How many crashes of backend servers the request is known to have caused. */
        @SerialName("q") public val crashes: Int = 0,
    ) : Frame

    /** Asks for a ticket for [route]. */
    @Serializable
    @SerialName("t")
    public class TicketRequest(
        @SerialName("x") override val exchange: Long,
        @SerialName("n") public val route: RouteName,
    ) : Frame

    /** A ticket, as text. */
    @Serializable
    @SerialName("i")
    public class TicketIssued(
        @SerialName("x") override val exchange: Long,
        @SerialName("k") public val ticket: String,
        @SerialName("v") public val validMilliseconds: Long,
    ) : Frame

    /** Asks what became of an attempt after its connection broke; one that never came can run no more after that. */
    @Serializable
    @SerialName("r")
    public class Resolve(
        @SerialName("x") override val exchange: Long,
        @SerialName("a") public val reference: AttemptReference,
    ) : Frame

    /** Answers [Resolve]: [notRun] is the kind that proves the attempt did not and cannot run, or null when that is not proven. */
    @Serializable
    @SerialName("e")
    public class Resolution(
        @SerialName("x") override val exchange: Long,
        @SerialName("k") public val notRun: ErrorKind? = null,
    ) : Frame

    /** Tells every proxy on the connection the guard's load, unasked. */
    @Serializable
    @SerialName("n")
    public class News(
        @SerialName("x") override val exchange: Long,
        @SerialName("g") public val load: GuardLoad,
    ) : Frame

    /** The proxy no longer wants the answer of [exchange]. */
    @Serializable
    @SerialName("x")
    public class Cancel(
        @SerialName("x") override val exchange: Long,
    ) : Frame
}
