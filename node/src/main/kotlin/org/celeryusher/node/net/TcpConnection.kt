package org.celeryusher.node.net

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.CompletionHandler

/**
 * One TCP connection. One coroutine may read while another writes.
 *
 * A read that its caller gives up goes on, and what it brings is there for the next one; a write that its caller gives up closes the
 * connection, since nobody could tell how much of it was sent.
 */
internal class TcpConnection(
    private val channel: AsynchronousSocketChannel,
) {
    private val received = ByteBuffer.allocate(READ_BYTES)
    private var reading: CompletableDeferred<Int>? = null

    /** Whether the peer has neither sent anything that was not read nor closed, as far as this process was told; begins a read. */
    val isQuiet: Boolean get() = channel.isOpen && !beginRead().isCompleted

    /**
     * Waits for bytes and passes them to [take]; returns false at the end of the stream.
     *
     * @throws IOException when the connection was reset.
     */
    suspend fun read(take: (ByteBuffer) -> Unit): Boolean {
        val count = beginRead().await()
        if (count < 0) return false
        received.flip()
        take(received)
        received.clear()
        reading = null
        return true
    }

    /** Sends all of [bytes]. @throws IOException when the connection broke. */
    suspend fun write(bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.hasRemaining()) {
            suspendCancellableCoroutine<Int> { waiting ->
                waiting.invokeOnCancellation { close() }
                channel.write(buffer, waiting, ResumeWith())
            }
        }
    }

    /** Closes the connection; waiting reads and writes fail. */
    fun close() {
        try {
            channel.close()
        } catch (_: IOException) {
            // A connection that cannot be closed properly is gone as well.
        }
    }

    private fun beginRead(): CompletableDeferred<Int> {
        reading?.let { return it }
        val begun = CompletableDeferred<Int>()
        reading = begun
        channel.read(received, begun, CompleteRead)
        return begun
    }

    private object CompleteRead : CompletionHandler<Int, CompletableDeferred<Int>> {
        override fun completed(
            result: Int,
            waiting: CompletableDeferred<Int>,
        ) {
            waiting.complete(result)
        }

        override fun failed(
            error: Throwable,
            waiting: CompletableDeferred<Int>,
        ) {
            waiting.completeExceptionally(asIOException(error))
        }
    }

    private companion object {
        const val READ_BYTES = 8_192
    }
}
