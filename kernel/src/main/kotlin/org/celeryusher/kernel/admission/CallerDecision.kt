package org.celeryusher.kernel.admission

/** Why a connection or a request of a caller is refused, or a connection is closed. */
public enum class CallerCause {
    /** There are too many connections at the address. */
    CONNECTIONS,

    /** The memory for callers is short. */
    MEMORY,

    /** The request can never be held here. */
    TOO_LARGE,

    /** Too many pipelined requests are in progress. */
    PIPELINED,

    /** The caller sends a request too slowly. */
    SLOW_SENDER,

    /** The caller reads a response too slowly. */
    SLOW_READER,
}

/** What to do with bytes or a connection that a caller wants the node to hold. */
public sealed interface CallerDecision {
    /** Hold it, and close the connections in [closing] to make room for it. */
    public data class Granted(
        val closing: List<HeldConnection>,
    ) : CallerDecision

    /** Read nothing more from the connection until its present request has ended. */
    public data object Wait : CallerDecision

    /** Do not hold it. */
    public data class Refused(
        val cause: CallerCause,
    ) : CallerDecision

    public companion object {
        /** A grant that closes nothing. */
        public val GRANTED: Granted = Granted(emptyList())
    }
}

/** A connection to be closed, and why. */
public data class OverdueConnection(
    public val connection: HeldConnection,
    public val cause: CallerCause,
)

/** What the connections to a node hold. */
public data class CallerUsage(
    public val connections: Map<CallerPort, Int>,
    /** The bytes of connections without an admitted request. */
    public val unadmittedBytes: Long,
    /** The bytes of connections with an admitted request or with valid frames. */
    public val admittedBytes: Long,
    /** The bytes of connections to the admin address. */
    public val adminBytes: Long,
    /** The pipelined requests that are in progress. */
    public val pipelinedRequests: Int,
    /** The bytes of all messages in flight, also of those from servers and other nodes. */
    public val reservedBytes: Long,
)
