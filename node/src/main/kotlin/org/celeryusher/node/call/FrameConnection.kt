package org.celeryusher.node.call

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.launch
import java.io.IOException

/**
 * One connection that carries frames in both directions.
 *
 * Frames that are queued together are flushed together. [onFrame] runs for each frame in the order of arrival and must not wait;
 * [onClosed] runs once when the connection ends for whatever reason.
 */
internal class FrameConnection(
    private val socket: Socket,
    private val maximumFrameBytes: Int,
    private val onFrame: (FrameConnection, Frame) -> Unit,
    private val onClosed: (FrameConnection, Throwable?) -> Unit,
) {
    private val outgoing = Channel<ByteArray>(OUTGOING_FRAMES)
    private var jobs: List<Job> = emptyList()

    /** Whether the connection still takes frames. */
    val isOpen: Boolean get() = socket.socketContext.isActive

    /** Starts reading and writing in [scope]. */
    fun start(scope: CoroutineScope) {
        jobs = listOf(scope.launch { writeFrames() }, scope.launch { readFrames() })
    }

    /** Queues [frame]; returns false when the connection is closed or its queue is full, in which case nothing was sent. */
    fun send(frame: Frame): Boolean = outgoing.trySend(FrameCodec.encode(frame)).isSuccess

    /** Queues [frame], waiting while the queue is full; returns false when the connection is closed. */
    suspend fun sendWaiting(frame: Frame): Boolean =
        try {
            outgoing.send(FrameCodec.encode(frame))
            true
        } catch (_: ClosedSendChannelException) {
            false
        }

    /** Closes the connection. */
    fun close() {
        outgoing.close()
        socket.close()
    }

    private suspend fun writeFrames() {
        val output = socket.openWriteChannel(autoFlush = false)
        try {
            for (first in outgoing) {
                FrameCodec.write(output, first)
                var next = outgoing.tryReceive().getOrNull()
                while (next != null) {
                    FrameCodec.write(output, next)
                    next = outgoing.tryReceive().getOrNull()
                }
                output.flush()
            }
        } catch (_: IOException) {
            // The reader sees the same end and reports it.
        } finally {
            close()
        }
    }

    private suspend fun readFrames() {
        var cause: Throwable? = null
        try {
            val input = socket.openReadChannel()
            while (true) {
                onFrame(this, FrameCodec.read(input, maximumFrameBytes))
            }
        } catch (error: IOException) {
            cause = error
        } finally {
            close()
            onClosed(this, cause)
        }
    }

    private companion object {
        const val OUTGOING_FRAMES = 1_024
    }
}
