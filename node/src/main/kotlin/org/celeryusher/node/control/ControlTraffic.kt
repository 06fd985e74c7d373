package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.LongAdder

/** Counts the messages between this node and others, and its calls of the platform. Bytes are those of headers and bodies. */
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

    fun received(bytes: Int) {
        messagesIn.increment()
        bytesIn.add(bytes.toLong())
    }

    fun sent(bytes: Int) {
        messagesOut.increment()
        bytesOut.add(bytes.toLong())
    }

    fun failed(): Unit = failed.increment()

    fun malformed(): Unit = malformed.increment()

    fun unauthenticated(): Unit = unauthenticated.increment()

    fun configurationRead(): Unit = configurationReads.increment()

    fun instancesRead(): Unit = instanceReads.increment()

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

/** What a node's control work has sent and received since its start. Requests and answers count as one message each. */
@Serializable
public data class ControlTrafficCounts(
    public val messagesIn: Long,
    public val messagesOut: Long,
    /** Bytes of headers and bodies. */
    public val bytesIn: Long,
    /** Bytes of headers and bodies. */
    public val bytesOut: Long,
    /** Exchanges that this node started and that were refused, broken off, timed out or answered by something else than expected. */
    public val failedExchanges: Long,
    public val malformedMessages: Long,
    public val unauthenticatedMessages: Long,
    /** Calls of the platform for the configuration, a watch counting as one. */
    public val configurationReads: Long,
    /** Calls of the platform for the instance list. */
    public val instanceReads: Long,
) {
    /** All calls of the platform. */
    public val platformCalls: Long get() = configurationReads + instanceReads
}
