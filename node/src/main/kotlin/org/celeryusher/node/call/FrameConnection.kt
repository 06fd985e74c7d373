package org.celeryusher.node.call

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.launch
import org.celeryusher.node.net.CallerConnection
import org.celeryusher.node.net.MessageMemory
import org.celeryusher.node.net.OutgoingLink
import org.celeryusher.node.net.TcpConnection
import org.celeryusher.node.runtime.OutOfMemoryExit
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/**
 * A connection that carries frames in both directions.
 *
 * Frames that are queued at the same time are written as one batch. [onFrame] is called for each frame in the order of arrival and must
 * not block. [onClosed] is called once when the connection is closed for any reason.
 */
internal class FrameConnection(
    private val connection: TcpConnection,
    private val maximumFrameBytes: Int,
    private val memory: MessageMemory,
    private val onFrame: (FrameConnection, Frame) -> Unit,
    private val onClosed: (FrameConnection, Throwable?) -> Unit,
    /** The accepted connection that is charged for what it holds, or null if this node has opened [connection]. */
    private val caller: CallerConnection? = null,
    /** Called whenever bytes have arrived. */
    private val onBytes: () -> Unit = {},
) {
    private val outgoing = Channel<QueuedFrame>(OUTGOING_QUEUE_FRAMES)
    private val unsent = AtomicInteger()
    private var jobs: List<Job> = emptyList()

    /** The number of frames that are queued or being written. */
    val unsentFrames: Int get() = unsent.get()

    /** The number of bytes that the other node or the system between has taken. */
    val sentBytes: Long get() = connection.sentBytes

    /** The number of bytes that have arrived. */
    val receivedBytes: Long get() = connection.receivedBytes

    /** How many of them belong to large frames, which arrive in parts. */
    @Volatile
    var receivedLargeBytes: Long = 0
        private set

    /** Whether the connection still accepts frames. */
    @Volatile
    var isOpen: Boolean = true
        private set

    /** Starts reading and writing in [scope]. */
    fun start(scope: CoroutineScope) {
        caller?.unsentFrames = ::unsentFrames
        jobs = listOf(scope.launch { writeFrames() }, scope.launch { readFrames() })
    }

    /** Queues [frame]; returns false when the connection is closed or its queue is full, in which case nothing was sent. */
    fun send(frame: Frame): Boolean = send(FrameCodec.encode(frame))

    /** Queues an [encoded] frame; returns false as for [send] of a frame. */
    fun send(encoded: ByteArray): Boolean {
        recordQueued(encoded)
        val isQueued = outgoing.trySend(QueuedFrame(encoded)).isSuccess
        if (!isQueued) recordSent(1, encoded.size)
        return isQueued
    }

    /**
     * Queues [frame], suspending while the queue is full; returns false when the connection is closed.
     *
     * On an accepted connection, a large frame is queued when it may be sent on the link, so that others do not wait behind it until then, and a
     * cancelled one is not sent.
     */
    suspend fun sendSuspending(frame: Frame): Boolean {
        var isQueued = false
        val encoded = FrameCodec.encode(frame)
        recordQueued(encoded)
        val place = if (caller == null) null else connection.enterLink(encoded.size)
        try {
            place?.awaitFirstTurn()
            isQueued = outgoing.trySend(QueuedFrame(encoded, place)).isSuccess
            if (!isQueued) {
                place?.close()
                outgoing.send(QueuedFrame(encoded))
                isQueued = true
            }
        } catch (_: ClosedSendChannelException) {
            // The caller handles a closed connection.
        } finally {
            if (!isQueued) {
                place?.close()
                recordSent(1, encoded.size)
            }
        }
        return isQueued
    }

    /**
     * Charges an exchange with the other node to it.
     *
     * @throws org.celeryusher.node.net.MessageMemoryException when there is too little memory for it.
     */
    fun beginExchange() {
        caller?.beginExchange()
    }

    /** Records that an exchange that was charged has ended. */
    fun endExchange() {
        caller?.endExchange()
    }

    private fun recordQueued(encoded: ByteArray) {
        unsent.incrementAndGet()
        memory.take(encoded.size)
    }

    private fun recordSent(
        frames: Int,
        bytes: Int,
    ) {
        unsent.addAndGet(-frames)
        memory.release(bytes)
    }

    /** Closes the connection. */
    fun close() {
        isOpen = false
        outgoing.close()
        connection.close()
    }

    private suspend fun writeFrames() {
        try {
            for (first in outgoing) {
                var next: QueuedFrame? = first
                while (next != null) next = if (next.size < MAXIMUM_BATCH_BYTES) writeBatch(next) else writeLarge(next)
            }
        } catch (_: IOException) {
            // The reader fails with the same error and reports it.
        } catch (error: OutOfMemoryError) {
            OutOfMemoryExit.exit(error)
        } finally {
            close()
            discardUnsent()
        }
    }

    /** Writes [first] and the frames that are queued behind it, and returns the one that would make the batch a large message, if any. */
    private suspend fun writeBatch(first: QueuedFrame): QueuedFrame? {
        var batch = FrameCodec.framed(first.encoded)
        var frames = 1
        var excess: QueuedFrame? = null
        while (excess == null) {
            val next = outgoing.tryReceive().getOrNull() ?: break
            if (batch.size + next.size + FrameCodec.LENGTH_BYTES > MAXIMUM_BATCH_BYTES) {
                excess = next
            } else {
                batch += FrameCodec.framed(next.encoded)
                frames++
            }
        }
        var isWritten = false
        try {
            connection.write(batch, caller?.stallLimit)
            isWritten = true
        } finally {
            recordSent(frames, batch.size - frames * FrameCodec.LENGTH_BYTES)
            if (!isWritten && excess != null) discard(excess)
        }
        return excess
    }

    private suspend fun writeLarge(frame: QueuedFrame): QueuedFrame? {
        try {
            connection.write(FrameCodec.prefixOf(frame.encoded), caller?.stallLimit)
            connection.write(frame.encoded, caller?.stallLimit, frame.place)
        } finally {
            discard(frame)
        }
        return null
    }

    private fun discardUnsent() {
        while (true) discard(outgoing.tryReceive().getOrNull() ?: break)
    }

    /** Releases what [frame] holds after it was sent, or because it will not be. */
    private fun discard(frame: QueuedFrame) {
        frame.place?.close()
        recordSent(1, frame.size)
    }

    private suspend fun readFrames() {
        var cause: Throwable? = null
        // A closed connection may still be referred to, and must not keep the buffer of a frame that did not end.
        val reader = FrameReader(maximumFrameBytes, memory, caller)
        try {
            while (connection.read(reader::add)) {
                receivedLargeBytes = reader.largeBytes
                onBytes()
                while (true) onFrame(this, reader.next() ?: break)
            }
        } catch (error: IOException) {
            cause = error
        } catch (error: OutOfMemoryError) {
            OutOfMemoryExit.exit(error)
        } finally {
            reader.close()
            close()
            caller?.close()
            onClosed(this, cause)
        }
    }

    private class QueuedFrame(
        val encoded: ByteArray,
        /** The place on the link of a large frame whose turn has come, or null if it has none yet. */
        val place: OutgoingLink.Message? = null,
    ) {
        val size: Int get() = encoded.size
    }

    private companion object {
        const val OUTGOING_QUEUE_FRAMES = 1_024
        const val MAXIMUM_BATCH_BYTES = 16_384
    }
}
