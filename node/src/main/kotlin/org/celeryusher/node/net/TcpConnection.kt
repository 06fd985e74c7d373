package org.celeryusher.node.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.suspendCancellableCoroutine
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * A TCP connection. One coroutine may read while another one writes.
 *
 * A cancelled read loses no bytes. A cancelled write closes the connection, since it is unknown how much of it was sent.
 */
internal class TcpConnection(
    private val channel: SocketChannel,
    private val loop: EventLoop,
    private val clock: ProcessClock,
    openedAt: Moment,
) : RegisteredChannel {
    private val lock = Any()
    private val received = ByteBuffer.allocate(READ_BYTES)
    private var hasEnded = false
    private var lastEmptyAt = openedAt
    private var readFailure: IOException? = null
    private var reader: CancellableContinuation<Unit>? = null
    private var writer: CancellableContinuation<Unit>? = null
    private val key: SelectionKey = loop.register(channel, this)

    /**
     * Whether there are no unread bytes and the peer has not closed the connection.
     *
     * This asks the operating system, so that also bytes and a close that have only just arrived are seen.
     */
    val isIdle: Boolean get() = synchronized(lock) { channel.isOpen && !receive() }

    /** Whether the peer has closed the connection or its sending side and all its bytes are read. Asks the operating system, as [isIdle]. */
    val isEnded: Boolean get() = synchronized(lock) { receive() && received.position() == 0 }

    /** The earliest time at which the bytes that were last received can have arrived. */
    @Volatile
    var receivedSince: Moment = openedAt
        private set

    /** Waits until the connection is established. */
    suspend fun awaitConnected() {
        while (!channel.finishConnect()) awaitWritable(SelectionKey.OP_CONNECT)
    }

    /**
     * Suspends until bytes are received and passes them to [consume]; returns false at the end of the stream.
     *
     * @throws IOException when the connection was reset.
     */
    suspend fun read(consume: (ByteBuffer) -> Unit): Boolean {
        // A peer that always has bytes ready would otherwise never let a cancelled reader end, since there is nothing to wait for.
        currentCoroutineContext().ensureActive()
        awaitReceived()
        synchronized(lock) {
            if (received.position() == 0) return readFailure?.let { throw it } ?: false
            received.flip()
            consume(received)
            received.clear()
            return true
        }
    }

    /**
     * Sends all [bytes].
     *
     * @throws IOException when the connection was lost.
     */
    suspend fun write(bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        while (true) {
            // The JDK copies what it is given to native memory, however little of it the socket takes.
            buffer.limit(minOf(bytes.size, buffer.position() + LARGEST_WRITE_BYTES))
            try {
                channel.write(buffer)
            } catch (error: ClosedChannelException) {
                throw IOException(CLOSED_HERE, error)
            }
            if (buffer.position() == bytes.size) return
            if (buffer.hasRemaining()) awaitWritable(SelectionKey.OP_WRITE)
        }
    }

    /** Closes the connection; pending reads and writes fail. */
    override fun close() {
        try {
            channel.close()
        } catch (_: IOException) {
            // A connection that fails to close cannot be used any more either.
        }
        loop.wakeUp()
        val waiting = synchronized(lock) { listOfNotNull(takeReader(), takeWriter()) }
        waiting.forEach { it.resumeWithException(IOException(CLOSED_HERE)) }
    }

    override fun handleReadiness(ready: Int) {
        val waiting =
            synchronized(lock) {
                listOfNotNull(
                    if (ready and SelectionKey.OP_READ != 0) handleReadable() else null,
                    if (ready and WRITE_OPERATIONS != 0) handleWritable() else null,
                )
            }
        waiting.forEach { it.resume(Unit) }
    }

    /** Receives ahead of the next read. Nothing more is received until somebody reads, which keeps the memory of a connection bounded. */
    private fun handleReadable(): CancellableContinuation<Unit>? {
        val hadUnread = hasResult
        val waiting = if (receive(notBefore = loop.readySince)) takeReader() else null
        if ((hadUnread && waiting == null) || hasEnded || readFailure != null) loop.removeInterest(key, SelectionKey.OP_READ)
        return waiting
    }

    private fun handleWritable(): CancellableContinuation<Unit>? {
        loop.removeInterest(key, WRITE_OPERATIONS)
        return takeWriter()
    }

    private val hasResult: Boolean get() = received.position() > 0 || hasEnded || readFailure != null

    /**
     * Receives what has arrived, unless there are unread bytes. Returns whether a read has a result: bytes, the end or a failure.
     *
     * What is received has arrived after the connection was last found to be empty, and not before [notBefore].
     */
    private fun receive(notBefore: Moment = Moment.DISTANT_PAST): Boolean {
        if (hasResult) return true
        try {
            hasEnded = channel.read(received) < 0
        } catch (error: ClosedChannelException) {
            readFailure = IOException(CLOSED_HERE, error)
        } catch (error: IOException) {
            readFailure = error
        }
        if (received.position() > 0) receivedSince = maxOf(lastEmptyAt, notBefore)
        if (!hasResult) lastEmptyAt = clock.now()
        return hasResult
    }

    private suspend fun awaitReceived() {
        if (synchronized(lock) { receive() }) return
        suspendCancellableCoroutine { continuation ->
            val isReady = synchronized(lock) { receive() || !waitFor(SelectionKey.OP_READ) { reader = continuation } }
            if (isReady) continuation.resume(Unit)
        }
    }

    private suspend fun awaitWritable(operation: Int) {
        suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { close() }
            val isWaiting = synchronized(lock) { waitFor(operation) { writer = continuation } }
            if (!isWaiting) continuation.resumeWithException(IOException(CLOSED_HERE))
        }
    }

    /** Sets who waits for [operation] and returns true, or returns false if the connection is closed. */
    private inline fun waitFor(
        operation: Int,
        setWaiting: () -> Unit,
    ): Boolean {
        if (!channel.isOpen) return false
        setWaiting()
        loop.addInterest(key, operation)
        return true
    }

    private fun takeReader(): CancellableContinuation<Unit>? = reader.also { reader = null }

    private fun takeWriter(): CancellableContinuation<Unit>? = writer.also { writer = null }

    private companion object {
        const val READ_BYTES = 8_192
        const val LARGEST_WRITE_BYTES = 262_144
        const val CLOSED_HERE = "the connection was closed here"
        const val WRITE_OPERATIONS = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT
    }
}
