package org.celeryusher.node.source

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.davidehrmann.vcdiff.VCDiffDecoderBuilder
import com.davidehrmann.vcdiff.VCDiffEncoderBuilder
import org.celeryusher.kernel.distribution.DeltaDecoder
import java.io.ByteArrayOutputStream
import java.io.IOException

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
        val result = ByteArrayOutputStream(base.size + delta.size)
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
}
