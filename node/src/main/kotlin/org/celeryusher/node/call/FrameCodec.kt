package org.celeryusher.node.call

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.nio.ByteBuffer

/** A frame that could not be read; the connection it came on is closed. */
public class MalformedFrameException(
    message: String,
    cause: Throwable? = null,
) : java.io.IOException(message, cause)

/** Writes frames as a four-byte length and CBOR, and reads them back. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    private val format =
        Cbor {
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
            encodeDefaults = false
        }

    /** Returns the bytes of [frame] without the length. */
    fun encode(frame: Frame): ByteArray = format.encodeToByteArray<Frame>(frame)

    /** Returns the frame in [bytes]. */
    fun decode(bytes: ByteArray): Frame =
        try {
            format.decodeFromByteArray<Frame>(bytes)
        } catch (error: SerializationException) {
            throw MalformedFrameException("a frame of ${bytes.size} bytes cannot be decoded", error)
        } catch (error: IllegalArgumentException) {
            throw MalformedFrameException("a frame of ${bytes.size} bytes cannot be decoded", error)
        } catch (error: IndexOutOfBoundsException) {
            throw MalformedFrameException("a frame of ${bytes.size} bytes ends early", error)
        }

    /** Returns encoded frame bytes with their length before them, as they are sent. */
    fun framed(bytes: ByteArray): ByteArray =
        ByteBuffer
            .allocate(LENGTH_BYTES + bytes.size)
            .putInt(bytes.size)
            .put(bytes)
            .array()

    /** The size of the length that stands before each frame. */
    const val LENGTH_BYTES: Int = 4
}

/** Puts the bytes of a connection together to frames; a length above [maximumBytes] is refused before anything is allocated for it. */
internal class FrameReader(
    private val maximumBytes: Int,
) {
    private val length = ByteBuffer.allocate(FrameCodec.LENGTH_BYTES)
    private var body: ByteBuffer? = null
    private val ready = ArrayDeque<Frame>()

    /** Takes in [received]. @throws MalformedFrameException when it is not a sequence of frames. */
    fun add(received: ByteBuffer) {
        while (received.hasRemaining()) {
            val target = body ?: length
            val count = minOf(target.remaining(), received.remaining())
            target.put(target.position(), received, received.position(), count)
            target.position(target.position() + count)
            received.position(received.position() + count)
            if (!target.hasRemaining()) complete(target)
        }
    }

    /** Returns the next whole frame, or null when more bytes are needed. */
    fun next(): Frame? = ready.removeFirstOrNull()

    private fun complete(target: ByteBuffer) {
        if (target === length) {
            val bytes = length.getInt(0)
            length.clear()
            if (bytes !in 1..maximumBytes) throw MalformedFrameException("a frame of $bytes bytes is outside 1 to $maximumBytes")
            body = ByteBuffer.allocate(bytes)
        } else {
            body = null
            ready += FrameCodec.decode(target.array())
        }
    }
}
