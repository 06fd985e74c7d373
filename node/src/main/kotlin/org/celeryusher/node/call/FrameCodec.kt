package org.celeryusher.node.call

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.celeryusher.kernel.admission.LinkSchedule
import org.celeryusher.node.net.CallerConnection
import org.celeryusher.node.net.MessageMemory
import org.celeryusher.node.runtime.OutOfMemoryExit
import java.nio.ByteBuffer

/** Thrown when a frame cannot be decoded; its connection is closed. */
public class MalformedFrameException(
    message: String,
    cause: Throwable? = null,
) : java.io.IOException(message, cause)

/** Encodes and decodes frames as CBOR. On a connection each frame is preceded by its length in four bytes. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    private val format =
        Cbor {
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
            encodeDefaults = false
        }

    /** Returns the encoding of [frame] without the length prefix. */
    fun encode(frame: Frame): ByteArray = format.encodeToByteArray<Frame>(frame)

    /**
     * Returns the frame encoded in [bytes].
     *
     * @throws MalformedFrameException when [bytes] is not a frame.
     */
    fun decode(bytes: ByteArray): Frame =
        try {
            if (!CborLengths.areWithin(bytes)) throw MalformedFrameException("a frame of ${bytes.size} bytes states lengths beyond its end")
            format.decodeFromByteArray<Frame>(bytes)
        } catch (error: SerializationException) {
            throw MalformedFrameException("a frame of ${bytes.size} bytes cannot be decoded", error)
        } catch (error: IllegalArgumentException) {
            throw MalformedFrameException("a frame of ${bytes.size} bytes cannot be decoded", error)
        } catch (error: IndexOutOfBoundsException) {
            throw MalformedFrameException("a frame of ${bytes.size} bytes ends early", error)
        } catch (error: StackOverflowError) {
            throw MalformedFrameException("a frame of ${bytes.size} bytes is nested too deeply", error)
        } catch (error: OutOfMemoryError) {
            OutOfMemoryExit.exit(error)
        }

    /** Returns the encoded frame [bytes] with the length prefix, as they are sent. */
    fun framed(bytes: ByteArray): ByteArray = prefixOf(bytes) + bytes

    /** Returns the length prefix of the encoded frame [bytes]. */
    fun prefixOf(bytes: ByteArray): ByteArray = ByteBuffer.allocate(LENGTH_BYTES).putInt(bytes.size).array()

    /** The size of the length prefix. */
    const val LENGTH_BYTES: Int = 4
}

/** Splits a byte stream into frames. A length above [maximumBytes] is rejected before a buffer for the frame is allocated. */
internal class FrameReader(
    private val maximumBytes: Int,
    private val memory: MessageMemory,
    /** The connection that is charged, or null on a connection that this node has opened. */
    private val caller: CallerConnection? = null,
) : AutoCloseable {
    private val length = ByteBuffer.allocate(FrameCodec.LENGTH_BYTES)
    private var body: ByteBuffer? = null
    private var bodyBytes = 0
    private var takenBytes = 0
    private val ready = ArrayDeque<Frame>()

    /** The bytes of large frames that have arrived, as parts or whole. */
    var largeBytes: Long = 0
        private set

    /**
     * Consumes [received] and decodes the frames that it completes.
     *
     * @throws MalformedFrameException when a length is out of bounds or a frame cannot be decoded.
     */
    fun add(received: ByteBuffer) {
        while (received.hasRemaining()) {
            val target = body ?: length
            val count = minOf(target.remaining(), received.remaining())
            target.put(target.position(), received, received.position(), count)
            target.position(target.position() + count)
            received.position(received.position() + count)
            if (target !== length && bodyBytes > LinkSchedule.PART_BYTES) largeBytes += count
            if (!target.hasRemaining()) complete(target)
            if (body?.hasRemaining() == false) enlarge()
        }
        if (caller != null && !caller.isReceiving && (body != null || length.position() > 0)) caller.begin()
    }

    /** Returns the next complete frame, or null when more bytes are needed. */
    fun next(): Frame? = ready.removeFirstOrNull()

    // The buffer grows with the received bytes, so that a peer cannot make this process allocate memory by stating a length alone.
    private fun enlarge() {
        val full = body ?: return
        full.flip()
        body = allocate(minOf(bodyBytes.toLong(), full.capacity() * 2L).toInt()).put(full)
    }

    private fun allocate(bytes: Int): ByteBuffer {
        if (caller == null) memory.take(bytes - takenBytes) else caller.holdFrame((bytes - takenBytes).toLong())
        takenBytes = bytes
        return ByteBuffer.allocate(bytes)
    }

    override fun close() {
        if (caller == null) memory.release(takenBytes) else caller.release(takenBytes.toLong())
        takenBytes = 0
    }

    private fun complete(target: ByteBuffer) {
        if (target === length) {
            val bytes = length.getInt(0)
            length.clear()
            if (bytes !in 1..maximumBytes) throw MalformedFrameException("frame length $bytes is not in 1..$maximumBytes")
            bodyBytes = bytes
            body = allocate(minOf(bytes, INITIAL_BODY_BYTES))
        } else if (target.capacity() == bodyBytes) {
            body = null
            ready += FrameCodec.decode(target.array())
            close()
            caller?.prove()
        }
    }

    private companion object {
        const val INITIAL_BODY_BYTES = 65_536
    }
}
