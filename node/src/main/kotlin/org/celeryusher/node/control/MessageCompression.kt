package org.celeryusher.node.control

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Compresses large messages between nodes with gzip. */
internal object MessageCompression {
    /** The size from which a message is compressed, in bytes. */
    const val MINIMUM_BYTES = 2_048

    fun compress(bytes: ByteArray): ByteArray {
        val out = ByteArrayOutputStream(bytes.size / EXPECTED_RATIO)
        GZIPOutputStream(out).use { it.write(bytes) }
        return out.toByteArray()
    }

    /** Returns the decompressed [bytes], or null when they are not gzip or decompress to more than [maximumBytes]. */
    fun expandOrNull(
        bytes: ByteArray,
        maximumBytes: Int,
    ): ByteArray? =
        try {
            val expanded = GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(maximumBytes + 1) }
            expanded.takeIf { it.size <= maximumBytes }
        } catch (_: IOException) {
            null
        }

    private const val EXPECTED_RATIO = 4
}
