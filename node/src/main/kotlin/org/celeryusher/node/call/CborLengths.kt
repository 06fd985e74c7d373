package org.celeryusher.node.call

/**
 * Checks the lengths that an encoded frame states before it is decoded.
 *
 * The decoder allocates what a length states, and the JVM of a node exits when it cannot. The items of CBOR follow one another without padding,
 * so that one pass over them finds each length that the decoder reads.
 */
internal object CborLengths {
    /** Far more than a frame with a list of all servers of a fleet has, and few enough to be decoded in the memory of the smallest node. */
    private const val MAXIMUM_ITEMS = 400_000
    private const val BYTE_STRING = 2
    private const val MAP = 5
    private const val TAG = 6
    private const val MAJOR_TYPE_SHIFT = 5
    private const val ARGUMENT_MASK = 0x1f
    private const val FIRST_LONG_ARGUMENT = 24
    private const val LAST_LONG_ARGUMENT = 27
    private const val BYTE_MASK = 0xff
    private const val BITS_PER_BYTE = 8

    /** Returns whether no string in [bytes] is longer than the rest, and no list or map has more entries than the rest can hold. */
    fun areWithin(bytes: ByteArray): Boolean {
        var position = 0
        var items = 0
        while (position < bytes.size) {
            if (++items > MAXIMUM_ITEMS) return false
            val initial = bytes[position++].toInt() and BYTE_MASK
            val short = initial and ARGUMENT_MASK
            val argumentBytes = if (short in FIRST_LONG_ARGUMENT..LAST_LONG_ARGUMENT) 1 shl (short - FIRST_LONG_ARGUMENT) else 0
            if (argumentBytes > bytes.size - position) return false
            val argument = if (short < FIRST_LONG_ARGUMENT) short.toLong() else argumentAt(bytes, position, argumentBytes)
            position += argumentBytes
            val major = initial shr MAJOR_TYPE_SHIFT
            if (major !in BYTE_STRING until TAG) continue
            if (argument !in 0..(bytes.size - position).toLong()) return false
            when {
                major >= MAP - 1 -> if (argument > MAXIMUM_ITEMS) return false
                else -> position += argument.toInt()
            }
        }
        return true
    }

    private fun argumentAt(
        bytes: ByteArray,
        position: Int,
        count: Int,
    ): Long {
        var argument = 0L
        for (index in position until position + count) {
            argument =
                (argument shl BITS_PER_BYTE) or (bytes[index].toLong() and BYTE_MASK.toLong())
        }
        return argument
    }
}
