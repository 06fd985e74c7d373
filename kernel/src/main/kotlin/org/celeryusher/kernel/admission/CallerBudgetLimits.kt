package org.celeryusher.kernel.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The limits on what the connections to a node may hold, of a process with [capacityBytes] for messages. */
public data class CallerBudgetLimits(
    public val capacityBytes: Long,
    /** The share of the capacity that only admitted requests may use. */
    public val admittedShare: Double = 0.25,
    /** The memory for the connections to the admin address, in addition to the capacity. */
    public val adminBytes: Long = maxOf(MINIMUM_ADMIN_BYTES, capacityBytes / ADMIN_FRACTION),
    /** The maximum number of connections at each address. */
    public val connections: Map<CallerPort, Int> = connectionBounds(DEFAULT_DESCRIPTORS, capacityBytes, admittedShare),
    /** The maximum number of pipelined requests in progress at a time, at the address for callers. */
    public val pipelinedRequests: Int = DEFAULT_PIPELINED_REQUESTS,
    /** The number of requests of all callers in progress from which [pipelinedRequests] applies. */
    public val pipelinedThreshold: Int = DEFAULT_PIPELINED_THRESHOLD,
    /** The bytes that a sender or reader must transfer in each [progressWindow]; a request must be complete within one if it is smaller. */
    public val progressBytes: Long = 4_096,
    public val progressWindow: Duration = 10.seconds,
    /** How long a connection must have made no progress before it is closed to make room. */
    public val evictionStall: Duration = 1.seconds,
) {
    /** The memory for everything that callers hold without an admitted request. */
    public val unadmittedBytes: Long get() = (capacityBytes * (1 - admittedShare)).toLong()

    public companion object {
        /** What each connection is charged from its opening on: its stream buffer of 4,096 bytes, the channel, its key and the coroutine. */
        public const val CONNECTION_BYTES: Long = 6_144

        /**
         * What each HTTP connection is charged in addition while a request is in progress.
         *
         * It covers a receive buffer and a stream buffer of 8,192 bytes each, which is also all that is read ahead.
         */
        public const val REQUEST_BYTES: Long = 10_240

        /** The number of descriptors to divide where the deployment states none: far more than a fleet of 1,600 nodes needs. */
        public const val DEFAULT_DESCRIPTORS: Int = 10_000

        /** About the slots of one server, so that a short queue at its guard remains for other callers; a single client pipelines on fewer. */
        public const val DEFAULT_PIPELINED_REQUESTS: Int = 8

        /**
         * Less than the 54 calls that the guard of a server with 6 slots admits, since connections with requests ahead always have as many
         * requests in progress as this allows.
         */
        public const val DEFAULT_PIPELINED_THRESHOLD: Int = 32

        private const val MINIMUM_ADMIN_BYTES = 2_097_152L
        private const val ADMIN_FRACTION = 16
        private const val MAXIMUM_ADMIN_CONNECTIONS = 64
        private const val MINIMUM_ADMIN_CONNECTIONS = 4
        private const val ADMIN_DESCRIPTOR_SHARE = 0.05

        /** With 4,100 descriptors, this allows a connection from each of 1,600 nodes, and leaves a fifth for connections that the node opens. */
        private const val DESCRIPTOR_SHARE = 0.4

        /** Closed connections keep their descriptors until the next poll: up to 16 at the callers' address and as many at that of frames. */
        private const val CLOSING_DESCRIPTORS = 34

        /** Returns the bounds on connections by address, of a process that may have [descriptors] open. */
        public fun connectionBounds(
            descriptors: Int,
            capacityBytes: Long,
            admittedShare: Double,
        ): Map<CallerPort, Int> {
            // With a small request on each connection, half of the memory of callers must be left for large ones.
            val byMemory = (capacityBytes * (1 - admittedShare) / 2 / (CONNECTION_BYTES + REQUEST_BYTES)).toInt()
            val byDescriptors = ((descriptors - CLOSING_DESCRIPTORS).coerceAtLeast(0) * DESCRIPTOR_SHARE).toInt()
            val admin = (descriptors * ADMIN_DESCRIPTOR_SHARE).toInt().coerceIn(MINIMUM_ADMIN_CONNECTIONS, MAXIMUM_ADMIN_CONNECTIONS)
            return mapOf(
                CallerPort.CALLERS to minOf(byMemory, byDescriptors).coerceAtLeast(1),
                CallerPort.ADMIN to admin,
                CallerPort.FRAMES to byDescriptors.coerceAtLeast(1),
            )
        }
    }
}
