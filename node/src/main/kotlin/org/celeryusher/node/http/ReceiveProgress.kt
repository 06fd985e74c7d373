package org.celeryusher.node.http

import org.celeryusher.kernel.time.Moment
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/**
 * How much of a response has arrived while it is awaited.
 *
 * In the context of a coroutine that reads a platform, it shows the progress of that read to others. Each request begins anew.
 */
internal class ReceiveProgress : AbstractCoroutineContextElement(ReceiveProgress) {
    private class Response(
        val stream: HttpStream,
        val bytesBefore: Long,
    )

    @Volatile
    private var response: Response? = null

    /** The bytes that have arrived since the request was sent. */
    val bytes: Long get() = response?.let { it.stream.receivedBytes - it.bytesBefore } ?: 0

    /** The earliest time at which the last of these bytes can have arrived, or null before the first. */
    val receivedSince: Moment? get() = response?.takeIf { it.stream.receivedBytes > it.bytesBefore }?.stream?.receivedSince

    /** The earliest time at which the head of the latest response can have arrived, or null before the first. */
    @Volatile
    var headAt: Moment? = null
        private set

    /** Counts what arrives on [stream] from now on. */
    fun begin(stream: HttpStream) {
        headAt = null
        response = Response(stream, stream.receivedBytes)
    }

    /** Records that the head of the response has arrived. */
    fun recordHead() {
        headAt = response?.stream?.receivedSince
    }

    /** Records that the response was received or given up. */
    fun end() {
        response = null
    }

    companion object : CoroutineContext.Key<ReceiveProgress>
}
