package org.celeryusher.node.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.admission.LinkSchedule
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlin.time.Duration

/** Is told how many bytes a [TcpConnection] transfers. Called by the coroutine that reads or writes, and must not block. */
internal fun interface TransferObserver {
    /** Records that [bytes] were read or sent. */
    fun recordTransfer(bytes: Int)
}

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
    /** The link that is shared with other connections, or null if it is not limited or not used. */
    private val link: OutgoingLink? = null,
) : RegisteredChannel {
    private val lock = Any()

    /** The received bytes, or null if there are none. */
    private var received: ByteBuffer? = null
    private var hasEnded = false
    private var lastEmptyAt = openedAt
    private var readFailure: IOException? = null
    private var interruption: IOException? = null
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
    val isEnded: Boolean get() = synchronized(lock) { receive() && received == null }

    /** The number of bytes that the system has taken to send. */
    @Volatile
    var sentBytes: Long = 0
        private set

    /** The number of bytes that have been received. */
    @Volatile
    var receivedBytes: Long = 0
        private set

    /** The earliest time at which the bytes that were last received can have arrived. */
    @Volatile
    var receivedSince: Moment = openedAt
        private set

    /** Is told how many bytes were transferred, if set. */
    @Volatile
    var observer: TransferObserver? = null

    /** Returns the place on the link of a message of [size] bytes to send, or null if such messages do not wait for it. */
    fun enterLink(size: Int): OutgoingLink.Message? = link?.takeIf { size > LinkSchedule.PART_BYTES }?.enter(size)

    /** Waits until the connection is established. */
    suspend fun awaitConnected() {
        while (!channel.finishConnect()) awaitWritable(SelectionKey.OP_CONNECT)
    }

    /**
     * Suspends until bytes are received and passes them to [consume]; returns false at the end of the stream.
     *
     * Bytes that [consume] leaves are passed to the next one.
     *
     * @throws IOException when the connection was reset.
     */
    suspend fun read(consume: (ByteBuffer) -> Unit): Boolean {
        // A peer that always has bytes ready would otherwise never let a cancelled reader end, since there is nothing to wait for.
        currentCoroutineContext().ensureActive()
        awaitReceived()
        synchronized(lock) {
            interruption?.let { cause ->
                interruption = null
                throw cause
            }
            val buffer = received ?: return readFailure?.let { throw it } ?: false
            buffer.flip()
            val count = buffer.remaining()
            consume(buffer)
            observer?.recordTransfer(count - buffer.remaining())
            if (buffer.hasRemaining()) {
                buffer.compact()
            } else {
                received = null
                loop.buffers.release(buffer)
            }
            return true
        }
    }

    /**
     * Sends all [bytes]. [place] is the place of a large message on the link, if it has one already.
     *
     * @throws IOException when the connection was lost, or when the peer takes nothing for [stallLimit].
     */
    suspend fun write(
        bytes: ByteArray,
        stallLimit: Duration? = null,
        place: OutgoingLink.Message? = null,
    ) {
        val buffer = ByteBuffer.wrap(bytes)
        if (link == null || bytes.size <= LinkSchedule.PART_BYTES) {
            link?.recordSent(bytes.size)
            return writePart(buffer, LARGEST_WRITE_BYTES, bytes.size, stallLimit)
        }
        try {
            val message = place ?: link.enter(bytes.size)
            message.use { it.send(channel::isOpen) { end -> writePart(buffer, LinkSchedule.PART_BYTES, end, stallLimit) } }
        } catch (cancelled: CancellationException) {
            close()
            throw cancelled
        }
    }

    /** Writes [buffer] up to [end], at most [largestWrite] bytes at a time. */
    private suspend fun writePart(
        buffer: ByteBuffer,
        largestWrite: Int,
        end: Int,
        stallLimit: Duration?,
    ) {
        while (true) {
            // The JDK copies what it is given to native memory, however little of it the socket takes.
            buffer.limit(minOf(end, buffer.position() + largestWrite))
            try {
                val count = channel.write(buffer)
                sentBytes += count
                observer?.recordTransfer(count)
            } catch (error: ClosedChannelException) {
                throw IOException(CLOSED_HERE, error)
            }
            if (buffer.position() == end) return
            if (buffer.hasRemaining()) awaitWritable(stallLimit)
        }
    }

    /**
     * Limits the bytes that the system holds until the peer takes them.
     *
     * Without a limit it takes some megabytes of each response at once, so that what is unread would be neither held to account nor seen.
     */
    fun limitSendBuffer() {
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES)
    }

    /** Makes the present or next read fail with [cause]. Later reads are not affected. */
    fun interruptRead(cause: IOException) {
        val waiting =
            synchronized(lock) {
                interruption = cause
                takeReader()
            }
        waiting?.resume(Unit)
    }

    /** Returns the cause of an interruption that has not met a read yet, if any, and removes it. */
    fun clearInterruption(): IOException? = synchronized(lock) { interruption.also { interruption = null } }

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

    private val hasResult: Boolean get() = received != null || hasEnded || readFailure != null

    /**
     * Receives what has arrived, unless there are unread bytes. Returns whether a read has a result: bytes, the end or a failure.
     *
     * What is received has arrived after the connection was last found to be empty, and not before [notBefore].
     */
    private fun receive(notBefore: Moment = Moment.DISTANT_PAST): Boolean {
        if (hasResult) return true
        val buffer = loop.buffers.take()
        try {
            hasEnded = channel.read(buffer) < 0
        } catch (error: ClosedChannelException) {
            readFailure = IOException(CLOSED_HERE, error)
        } catch (error: IOException) {
            readFailure = error
        }
        if (buffer.position() > 0) {
            received = buffer
            receivedBytes += buffer.position()
            receivedSince = maxOf(lastEmptyAt, notBefore)
        } else {
            loop.buffers.release(buffer)
        }
        if (!hasResult) lastEmptyAt = clock.now()
        return hasResult
    }

    private fun isReadable(): Boolean = interruption != null || receive()

    private suspend fun awaitReceived() {
        if (synchronized(lock) { isReadable() }) return
        suspendCancellableCoroutine { continuation ->
            val isReady = synchronized(lock) { isReadable() || !waitFor(SelectionKey.OP_READ) { reader = continuation } }
            if (isReady) continuation.resume(Unit)
        }
    }

    private suspend fun awaitWritable(stallLimit: Duration?) {
        if (stallLimit == null) return awaitWritable(SelectionKey.OP_WRITE)
        withTimeoutOrNull(stallLimit) { awaitWritable(SelectionKey.OP_WRITE) } ?: throw IOException("the peer read nothing for $stallLimit")
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
        const val LARGEST_WRITE_BYTES = 262_144

        /** Holds usual responses as a whole (Linux doubles it); a steady reader is seen to progress after about 95,000 bytes on loopback. */
        const val SEND_BUFFER_BYTES = 65_536
        const val CLOSED_HERE = "the connection was closed here"
        const val WRITE_OPERATIONS = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT
    }
}
