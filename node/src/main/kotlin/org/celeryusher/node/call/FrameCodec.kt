package org.celeryusher.node.call

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

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

    /** Reads the next frame from [input]; a length above [maximumBytes] is refused before anything is allocated. */
    suspend fun read(
        input: ByteReadChannel,
        maximumBytes: Int,
    ): Frame {
        val length = input.readInt()
        if (length !in 1..maximumBytes) throw MalformedFrameException("a frame of $length bytes is outside 1 to $maximumBytes")
        return decode(input.readByteArray(length))
    }

    /** Writes encoded frame bytes to [output] without flushing. */
    suspend fun write(
        output: ByteWriteChannel,
        bytes: ByteArray,
    ) {
        output.writeInt(bytes.size)
        output.writeFully(bytes)
    }
}
