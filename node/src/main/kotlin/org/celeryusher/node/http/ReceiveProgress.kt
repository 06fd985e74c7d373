package org.celeryusher.node.http

/** How much of a response has arrived while it is awaited. One coroutine receives, and any other one may read [bytes]. */
internal class ReceiveProgress {
    @Volatile
    private var stream: HttpStream? = null
    private var before = 0L

    /** The bytes that have arrived since the request was sent. */
    val bytes: Long get() = stream?.let { it.receivedBytes - before } ?: 0

    /** Counts what arrives on [stream] from now on. */
    fun begin(stream: HttpStream) {
        before = stream.receivedBytes
        this.stream = stream
    }
}
