package org.celeryusher.node.http

import org.celeryusher.node.net.MessageMemory
import org.celeryusher.node.net.MessageMemoryException

/**
 * Collects the bytes of a body as they arrive.
 *
 * It grows with the received bytes, up to [expectedBytes] first, so that a peer cannot make this process allocate memory by stating a length
 * alone. What it holds is charged to [account], if there is one.
 */
internal class BodyBuffer(
    private val account: MessageMemory.Account?,
    private val expectedBytes: Int = Int.MAX_VALUE,
) {
    private var bytes = NO_BYTES

    /** The number of collected bytes. */
    var size: Int = 0
        private set

    /**
     * Appends [count] bytes of [source] from [offset] on.
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun append(
        source: ByteArray,
        offset: Int,
        count: Int,
    ) {
        if (size + count > bytes.size) enlarge(size + count)
        source.copyInto(bytes, size, offset, offset + count)
        size += count
    }

    /** Returns the collected bytes. */
    fun toByteArray(): ByteArray = if (size == bytes.size) bytes else bytes.copyOf(size)

    private fun enlarge(needed: Int) {
        val doubled = maxOf(bytes.size * 2L, INITIAL_BYTES.toLong())
        val enlarged = maxOf(needed.toLong(), minOf(doubled, expectedBytes.toLong())).toInt()
        val isGranted = account?.grow(bytes.size, enlarged - bytes.size) ?: true
        if (!isGranted) throw MessageMemoryException("too little memory for a body of over $size bytes")
        bytes = bytes.copyOf(enlarged)
    }

    private companion object {
        const val INITIAL_BYTES = 16_384
        val NO_BYTES = ByteArray(0)
    }
}
