package org.celeryusher.node.net

import java.nio.ByteBuffer
import java.util.concurrent.ArrayBlockingQueue

/**
 * Receive buffers that the connections of a process share, so that a connection holds one only while it has unread bytes.
 *
 * A few free buffers are retained, so that receiving allocates nothing under a usual load. Thread-safe.
 */
internal class ReceiveBuffers {
    private val free = ArrayBlockingQueue<ByteBuffer>(RETAINED_BUFFERS)

    /** Returns an empty buffer. */
    fun take(): ByteBuffer = free.poll() ?: ByteBuffer.allocate(BUFFER_BYTES)

    /** Takes back [buffer], whose bytes are consumed. */
    fun release(buffer: ByteBuffer) {
        free.offer(buffer.clear())
    }

    private companion object {
        const val BUFFER_BYTES = 8_192
        const val RETAINED_BUFFERS = 64
    }
}
