package org.celeryusher.node.settings

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.admission.CallerBudgetLimits
import org.celeryusher.kernel.admission.CallerPort
import kotlin.time.Duration.Companion.milliseconds

/** What untrusted callers may make a node hold; docs/operators/untrusted-callers.md explains each limit. */
@Serializable
public data class CallerBudgetSettings(
    /** The share of the memory for messages that only admitted requests may use. */
    public val admittedShare: Double = 0.25,
    /** The memory for connections to the admin address; null for a sixteenth of that for messages, at least 2 MiB. */
    public val adminBytes: Long? = null,
    /** The maximum number of connections from callers; null for four tenths of the machine's descriptors, as far as memory allows. */
    public val callerConnections: Int? = null,
    /** The maximum number of connections from other nodes; null for four tenths of the machine's descriptors. */
    public val frameConnections: Int? = null,
    /** The maximum number of connections to the admin address; null for one in 20 of the machine's descriptors, from 4 to 64. */
    public val adminConnections: Int? = null,
    /** The maximum number of pipelined requests from callers in progress at a time. */
    public val pipelinedRequests: Int = CallerBudgetLimits.DEFAULT_PIPELINED_REQUESTS,
    /** The number of requests from all callers in progress from which [pipelinedRequests] applies. */
    public val pipelinedThreshold: Int = CallerBudgetLimits.DEFAULT_PIPELINED_THRESHOLD,
    /** What a caller must send or read in each window, unless its message is complete before. */
    public val progressBytes: Long = 4_096,
    public val progressWindowMilliseconds: Long = 10_000,
    /** How long a connection must have made no progress before it is closed to make room for others. */
    public val evictionStallMilliseconds: Long = 1_000,
) {
    /** Returns the limits on a machine with the limits [machine] for a process with [messageBytes] of memory for messages. */
    internal fun limitsOn(
        machine: MachineLimits,
        messageBytes: Long,
    ): CallerBudgetLimits {
        val stated = machine.memoryMegabytes?.let { it * BYTES_PER_MEGABYTE / MACHINE_MEMORY_DIVISOR }
        val capacity = minOf(messageBytes, stated?.takeIf { it > 0 } ?: messageBytes)
        val descriptors = machine.descriptors?.takeIf { it > 0 } ?: CallerBudgetLimits.DEFAULT_DESCRIPTORS
        val connections =
            CallerBudgetLimits.connectionBounds(descriptors, capacity, admittedShare) +
                listOfNotNull(
                    callerConnections?.let { CallerPort.CALLERS to it },
                    frameConnections?.let { CallerPort.FRAMES to it },
                    adminConnections?.let { CallerPort.ADMIN to it },
                )
        val limits =
            CallerBudgetLimits(
                capacityBytes = capacity,
                admittedShare = admittedShare,
                connections = connections,
                pipelinedRequests = pipelinedRequests,
                pipelinedThreshold = pipelinedThreshold,
                progressBytes = progressBytes,
                progressWindow = progressWindowMilliseconds.milliseconds,
                evictionStall = evictionStallMilliseconds.milliseconds,
            )
        return if (adminBytes == null) limits else limits.copy(adminBytes = adminBytes)
    }

    /** The settings that must be greater than 0, by name. */
    internal fun positiveNumbers(): List<Pair<String, Long>> =
        listOfNotNull(
            adminBytes?.let { "adminBytes" to it },
            callerConnections?.let { "callerConnections" to it.toLong() },
            frameConnections?.let { "frameConnections" to it.toLong() },
            adminConnections?.let { "adminConnections" to it.toLong() },
            "pipelinedRequests" to pipelinedRequests.toLong(),
            "pipelinedThreshold" to pipelinedThreshold.toLong(),
            "progressBytes" to progressBytes,
            "progressWindowMilliseconds" to progressWindowMilliseconds,
            "evictionStallMilliseconds" to evictionStallMilliseconds,
        ).map { (name, number) -> "callerBudget.$name" to number }

    /** Returns what is wrong with the shares. */
    internal fun shareFaults(): List<SettingsFault> =
        listOfNotNull(
            SettingsFault("$.callerBudget.admittedShare", "$admittedShare is not between 0 and 0.9").takeIf { admittedShare !in 0.0..0.9 },
        )

    private companion object {
        const val BYTES_PER_MEGABYTE = 1_000_000L

        /** A JVM needs about half of a small machine beside its heap, and half of the heap for everything but messages. */
        const val MACHINE_MEMORY_DIVISOR = 4
    }
}
