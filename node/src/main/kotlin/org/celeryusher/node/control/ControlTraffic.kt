package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.LongAdder

/** Counts the messages that this node exchanges with other nodes, and its requests to the platform. Bytes include headers and bodies. */
internal class ControlTraffic {
    private val messagesIn = LongAdder()
    private val messagesOut = LongAdder()
    private val bytesIn = LongAdder()
    private val bytesOut = LongAdder()
    private val failed = LongAdder()
    private val malformed = LongAdder()
    private val unauthenticated = LongAdder()
    private val configurationReads = LongAdder()
    private val instanceReads = LongAdder()

    fun recordReceived(bytes: Int) {
        messagesIn.increment()
        bytesIn.add(bytes.toLong())
    }

    fun recordSent(bytes: Int) {
        messagesOut.increment()
        bytesOut.add(bytes.toLong())
    }

    fun recordFailed(): Unit = failed.increment()

    fun recordMalformed(): Unit = malformed.increment()

    fun recordUnauthenticated(): Unit = unauthenticated.increment()

    fun recordConfigurationRead(): Unit = configurationReads.increment()

    fun recordInstancesRead(): Unit = instanceReads.increment()

    fun counts(): ControlTrafficCounts =
        ControlTrafficCounts(
            messagesIn = messagesIn.sum(),
            messagesOut = messagesOut.sum(),
            bytesIn = bytesIn.sum(),
            bytesOut = bytesOut.sum(),
            failedExchanges = failed.sum(),
            malformedMessages = malformed.sum(),
            unauthenticatedMessages = unauthenticated.sum(),
            configurationReads = configurationReads.sum(),
            instanceReads = instanceReads.sum(),
        )
}

/** The messages and bytes that a node's control plane sent and received since its start. A request and its response are two messages. */
@Serializable
public data class ControlTrafficCounts(
    public val messagesIn: Long,
    public val messagesOut: Long,
    /** Bytes of headers and bodies. */
    public val bytesIn: Long,
    /** Bytes of headers and bodies. */
    public val bytesOut: Long,
    /** Exchanges that this node started and that were refused, were interrupted, timed out or got an unexpected response. */
    public val failedExchanges: Long,
    public val malformedMessages: Long,
    public val unauthenticatedMessages: Long,
    /** Requests to the platform for the configuration; a watch counts as one. */
    public val configurationReads: Long,
    /** Requests to the platform for the instance list. */
    public val instanceReads: Long,
) {
    /** All requests to the platform. */
    public val platformCalls: Long get() = configurationReads + instanceReads
}
