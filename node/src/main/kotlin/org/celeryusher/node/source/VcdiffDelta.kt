package org.celeryusher.node.source

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.davidehrmann.vcdiff.VCDiffDecoderBuilder
import com.davidehrmann.vcdiff.VCDiffEncoderBuilder
import org.celeryusher.kernel.distribution.DeltaDecoder
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream

/** Encodes the difference between two configurations in the format of RFC 3284 (VCDIFF). */
internal object VcdiffDelta : DeltaDecoder {
    /** Returns what turns [base] into [target]. */
    fun encode(
        base: ByteArray,
        target: ByteArray,
    ): ByteArray =
        ByteArrayOutputStream()
            .also {
                VCDiffEncoderBuilder
                    .builder()
                    .withDictionary(base)
                    .buildSimple()
                    .encode(target, it)
            }.toByteArray()

    override fun decode(
        base: ByteArray,
        delta: ByteArray,
        maximumBytes: Int,
    ): Either<String, ByteArray> {
        val result = UnsynchronizedOutput(base.size + delta.size)
        return try {
            VCDiffDecoderBuilder
                .builder()
                .withMaxTargetFileSize(maximumBytes.toLong())
                .withMaxTargetWindowSize(maximumBytes)
                .buildSimple()
                .decode(base, delta, result)
            result.toByteArray().right()
        } catch (error: IOException) {
            "${error.message}".left()
        } catch (error: RuntimeException) {
            // The library reports some malformed deltas in this way.
            "${error.javaClass.simpleName}: ${error.message}".left()
        }
    }

    /** Collects the result, which the library writes byte by byte. A [ByteArrayOutputStream] locks for each byte. */
    private class UnsynchronizedOutput(
        capacity: Int,
    ) : OutputStream() {
        private var bytes = ByteArray(capacity)
        private var size = 0

        override fun write(byte: Int) {
            if (size == bytes.size) grow(size + 1)
            bytes[size++] = byte.toByte()
        }

        override fun write(
            source: ByteArray,
            offset: Int,
            length: Int,
        ) {
            if (length > bytes.size - size) grow(size + length)
            source.copyInto(bytes, size, offset, offset + length)
            size += length
        }

        fun toByteArray(): ByteArray = bytes.copyOf(size)

        private fun grow(needed: Int) {
            bytes = bytes.copyOf(maxOf(needed, bytes.size * 2))
        }
    }
}
