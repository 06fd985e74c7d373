package org.celeryusher.node.net

import kotlinx.serialization.Serializable

/** The state of the link of an instance, for operators. Counts are since the process start. */
@Serializable
internal data class LinkStatus(
    /** The large messages that wait for the link or are being sent. */
    val waitingMessages: Int,
    val waitingBytes: Long,
    /** How long it takes to send them. */
    val waitMilliseconds: Long,
    /** The rate that other messages leave to large ones. */
    val bytesPerSecond: Long,
    /** The large messages of which a part was sent. */
    val begunMessages: Long,
    /** The large messages that were not sent, because those who waited for them had left. */
    val droppedMessages: Long,
    /** The calls that the guard refused because the link could not carry their answers in time. */
    val refusedCalls: Long,
)
