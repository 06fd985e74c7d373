@file:OptIn(ExperimentalSerializationApi::class)

package org.celeryusher.node.call

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.celeryusher.kernel.admission.CallOrigin
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.distribution.ConfigurationChange
import org.celeryusher.kernel.distribution.DocumentLimit
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.execution.AttemptReference
import org.celeryusher.kernel.execution.CrashReport
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.membership.EvacuationSet
import org.celeryusher.kernel.membership.ServerListChanges
import org.celeryusher.node.http.HeaderField

/** A message on a connection for calls between nodes. Answers are matched to requests by [exchange]. */
@Serializable
public sealed interface Frame {
    public val exchange: Long

    /** The first frame that a guard sends on each new connection: its process start and the reading of its clock. */
    @Serializable
    @SerialName("o")
    public class Hello(
        @SerialName("x") override val exchange: Long,
        @SerialName("l") public val processStart: Long,
        @SerialName("u") public val uptime: Uptime,
        /** Whether the node answers a [CrashQuery]. */
        @SerialName("c") public val answersCrashQueries: Boolean = false,
        /** Whether the node answers a [RetryQuery]. */
        @SerialName("g") public val grantsRetries: Boolean = false,
        /** Whether the node answers a [Ping]. */
        @SerialName("p") public val answersPings: Boolean = false,
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
        /** The backend server that the proxy has chosen. Another one at the same address must not run the call. */
        @SerialName("v") public val server: InstanceName? = null,
        /** The time from the arrival of this frame within which an answer meets the target latency, or null when it has already passed. */
        @SerialName("f") public val targetMilliseconds: Long? = null,
        @SerialName("o") public val host: String = "",
        /** The limit on calls a second that [server] has stated, as far as the proxy knows: a guard that has just started does not know it. */
        @SerialName("p") public val callsPerSecond: Double? = null,
        @SerialName("w") public val kind: AttemptKind = AttemptKind.FIRST,
        @SerialName("j") public val origin: CallOrigin = CallOrigin.NEW,
    ) : Frame

    /** The complete answer of a backend server. */
    @Serializable
    @SerialName("a")
    public class Answer(
        @SerialName("x") override val exchange: Long,
        @SerialName("s") public val status: Int,
        @SerialName("h") public val headers: List<HeaderField>,
        @ByteString
        @SerialName("b")
        public val body: ByteArray,
        /** The expected length of the body in bytes, by which a truncated answer is detected. */
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
        /** The crash that ended the call. */
        @SerialName("e") public val crash: CrashReport? = null,
        /** Whether the call was refused only because calls of its run would be refused. Older nodes ignore it. */
        @SerialName("n") public val refusedForCalls: Boolean = false,
    ) : Frame

    /** Requests a ticket for [route]. */
    @Serializable
    @SerialName("t")
    public class TicketRequest(
        @SerialName("x") override val exchange: Long,
        @SerialName("n") public val route: RouteName,
    ) : Frame

    /** The answer to [TicketRequest]: an encoded ticket and how long it is valid. */
    @Serializable
    @SerialName("i")
    public class TicketIssued(
        @SerialName("x") override val exchange: Long,
        @SerialName("k") public val ticket: String,
        @SerialName("v") public val validMilliseconds: Long,
    ) : Frame

    /** Asks for the state of an attempt whose connection was lost. An attempt that has not arrived yet is fenced and can no longer run. */
    @Serializable
    @SerialName("r")
    public class Resolve(
        @SerialName("x") override val exchange: Long,
        @SerialName("a") public val reference: AttemptReference,
    ) : Frame

    /** The answer to [Resolve]: [notRun] is an error kind that proves that the attempt did not and cannot run, or null without proof. */
    @Serializable
    @SerialName("e")
    public class Resolution(
        @SerialName("x") override val exchange: Long,
        @SerialName("k") public val notRun: ErrorKind? = null,
    ) : Frame

    /** A load report, which a guard pushes to connected proxies. */
    @Serializable
    @SerialName("n")
    public class LoadReport(
        @SerialName("x") override val exchange: Long,
        @SerialName("g") public val load: GuardLoad,
    ) : Frame

    /**
     * Asks what the node knows from the platform beyond what the sender has: see [SourceUpdate].
     *
     * The answer is sent as soon as there is something new, or after [waitMilliseconds].
     */
    @Serializable
    @SerialName("q")
    public class SourceQuery(
        @SerialName("x") override val exchange: Long,
        @SerialName("p") public val processStart: Long? = null,
        @SerialName("c") public val cursor: Long? = null,
        @SerialName("v") public val version: Long? = null,
        @SerialName("w") public val waitMilliseconds: Long,
        /** The revision of the latest change of the evacuations that the sender knows; null from a node that asks for none. */
        @SerialName("e") public val evacuationsChangedAt: Long? = null,
        /** The instance beside the sender, if the platform answers the sender while the peers that it asks have old data; they can ask it. */
        @SerialName("o") public val offeredBy: InstanceName? = null,
        /** Whether the query is also held while the data is old. */
        @SerialName("l") public val acceptsOldData: Boolean = false,
        /** The configuration in force at the sender, which takes changes of it; null from a node that has none, or takes documents only. */
        @SerialName("k") public val held: ConfigurationDigest? = null,
        /** Whether the sender asks for the whole configuration and for nothing else. */
        @SerialName("d") public val wantsDocument: Boolean = false,
        /** The version that is being transferred to the sender, so that only changes to it, or a later version, are news. */
        @SerialName("t") public val awaited: Long? = null,
        /** The limit of the sender, if it declines to be asked itself; see [SourceUpdate.declined]. */
        @SerialName("n") public val senderLimit: DocumentLimit? = null,
        /** Whether the sender knows that the receiver may decline, and has nobody else; null from a node that knows of no declining. */
        @SerialName("f") public val acceptsDeclining: Boolean? = null,
    ) : Frame {
        /** Returns this query with the number [exchange]. */
        public fun withExchange(exchange: Long): SourceQuery =
            SourceQuery(
                exchange,
                processStart,
                cursor,
                version,
                waitMilliseconds,
                evacuationsChangedAt,
                offeredBy,
                acceptsOldData,
                held,
                wantsDocument,
                awaited,
                senderLimit,
                acceptsDeclining,
            )
    }

    /** The answer to [SourceQuery]: what a node has read from the platform. */
    @Serializable
    @SerialName("u")
    public class SourceUpdate(
        @SerialName("x") override val exchange: Long,
        /** The process that issued the cursor of [servers]; another process does not know it. */
        @SerialName("p") public val processStart: Long,
        /** How long the query was held before this answer was sent. */
        @SerialName("h") public val heldMilliseconds: Long,
        /** The age of what the node knows: the list and the configuration were both current that long ago. Null before the first answer. */
        @SerialName("a") public val ageMilliseconds: Long? = null,
        /** The revision of the list up to which [servers] is complete. */
        @SerialName("r") public val revision: Long = 0,
        @SerialName("s") public val servers: ServerListChanges? = null,
        /**
         * The newest published configuration, compressed with gzip, if it is newer than the version of the query.
         *
         * A node that takes changes gets it only if it asks for it.
         */
        @ByteString
        @SerialName("d")
        public val configuration: ByteArray? = null,
        @SerialName("u") public val uptime: Uptime? = null,
        /** All evacuations in force, or null when the node does not know them. */
        @SerialName("e") public val evacuations: EvacuationSet? = null,
        /** Whether the node reads the platform and is answered. */
        @SerialName("o") public val isServed: Boolean = true,
        /** The era of [revision]; 0 from a node of an earlier version. */
        @SerialName("g") public val era: Long = 0,
        /** The newest configuration, if it is newer than the one that the sender of the query holds and takes changes of. */
        @SerialName("v") public val newest: ConfigurationDigest? = null,
        /** The changes that lead from the one to the other, or null if the sender has to ask for the whole configuration. */
        @SerialName("c") public val changes: List<ConfigurationChange>? = null,
        /** How long ago the node heard of the platform, whose answer may still be arriving; null from an earlier version. */
        @SerialName("b") public val contactMilliseconds: Long? = null,
        /** The complete list in place of [servers], compressed, for a node that takes it so; see [SourceQuery.held]. */
        @ByteString
        @SerialName("l")
        public val compressedServers: ByteArray? = null,
        /** The limits of the instances that are known to decline, the own one included, if the node declines the query; or null. */
        @SerialName("n") public val declined: List<DocumentLimit>? = null,
    ) : Frame {
        /** The position of the list up to which [servers] is complete. */
        public val position: StorePosition get() = StorePosition(era, revision)
    }

    /**
     * Asks for the crashes that the node knows of beyond change number [cursor] of its process that started at [processStart].
     *
     * The answer is sent as soon as there is something new, or after [waitMilliseconds].
     */
    @Serializable
    @SerialName("j")
    public class CrashQuery(
        @SerialName("x") override val exchange: Long,
        @SerialName("p") public val processStart: Long? = null,
        @SerialName("c") public val cursor: Long? = null,
        @SerialName("w") public val waitMilliseconds: Long,
    ) : Frame

    /** The answer to [CrashQuery]. */
    @Serializable
    @SerialName("k")
    public class CrashUpdate(
        @SerialName("x") override val exchange: Long,
        @SerialName("p") public val processStart: Long,
        @SerialName("c") public val cursor: Long,
        @SerialName("r") public val reports: List<CrashReport> = emptyList(),
        /** Whether the node itself knew enough of the crashes in the fleet to place calls. */
        @SerialName("i") public val isInformed: Boolean = false,
        @SerialName("u") public val uptime: Uptime? = null,
    ) : Frame

    /** Asks whether [service] bears [amount] repeated calls, which the node will cause if it allows a retry. */
    @Serializable
    @SerialName("y")
    public class RetryQuery(
        @SerialName("x") override val exchange: Long,
        @SerialName("n") public val service: ServiceName,
        @SerialName("a") public val amount: Double,
        /** The time within which the answer is of use. */
        @SerialName("w") public val waitMilliseconds: Long,
    ) : Frame

    /** The answer to [RetryQuery]. */
    @Serializable
    @SerialName("z")
    public class RetryGrant(
        @SerialName("x") override val exchange: Long,
        @SerialName("g") public val isGranted: Boolean,
    ) : Frame

    /** Cancels [exchange], whose answer the proxy no longer needs. */
    @Serializable
    @SerialName("x")
    public class Cancel(
        @SerialName("x") override val exchange: Long,
    ) : Frame

    /** Asks for a [Pong], which the reader of the other node sends at once: shows that the connection works in both directions. */
    @Serializable
    @SerialName("p")
    public class Ping(
        @SerialName("x") override val exchange: Long = 0,
    ) : Frame

    /** The answer to [Ping]. */
    @Serializable
    @SerialName("b")
    public class Pong(
        @SerialName("x") override val exchange: Long = 0,
    ) : Frame
}
