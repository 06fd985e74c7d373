package org.celeryusher.node.call

/** Validates the target of a request before routing, so that a node and a backend server cannot interpret its path differently. */
internal object RequestTarget {
    private const val ESCAPE_LENGTH = 3
    private const val HEXADECIMAL = 16
    private val visibleCharacters = '!'..'~'

    /** Returns a description of the error in [target] (path and query as received), or null when it is valid. */
    fun faultOf(target: String): String? =
        when {
            !target.startsWith('/') -> "the target is not a path"
            target.any { it !in visibleCharacters } -> "the target has characters that need escapes"
            else -> pathFault(target.substringBefore('?'))
        }

    private fun pathFault(path: String): String? {
        val decoded = decodeOrNull(path) ?: return "the path has an escape that is not % and two hexadecimal digits"
        val text =
            try {
                decoded.decodeToString(throwOnInvalidSequence = true)
            } catch (_: CharacterCodingException) {
                return "the path is not UTF-8"
            }
        return when {
            text.any(Char::isISOControl) -> "the path has control characters"
            text.split('/').any { it == "." || it == ".." } -> "the path has the segment . or .."
            else -> null
        }
    }

    private fun decodeOrNull(path: String): ByteArray? {
        if ('%' !in path) return path.encodeToByteArray()
        val bytes = ArrayList<Byte>(path.length)
        var position = 0
        while (position < path.length) {
            if (path[position] == '%') {
                bytes += escapedByteOrNull(path, position) ?: return null
                position += ESCAPE_LENGTH
            } else {
                bytes += path[position].code.toByte()
                position++
            }
        }
        return bytes.toByteArray()
    }

    private fun escapedByteOrNull(
        path: String,
        position: Int,
    ): Byte? {
        val high = path.getOrNull(position + 1)?.digitToIntOrNull(HEXADECIMAL) ?: return null
        val low = path.getOrNull(position + 2)?.digitToIntOrNull(HEXADECIMAL) ?: return null
        return (high * HEXADECIMAL + low).toByte()
    }
}
