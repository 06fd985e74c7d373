package org.celeryusher.kernel.configuration

/**
 * The nesting of JSON texts from outside, which is checked before they are parsed.
 *
 * The JSON library reads nested values by recursion, so a short text of opening brackets can exhaust the stack of a thread.
 */
public object JsonNesting {
    /** The greatest depth that is parsed. Messages and documents need a fraction of it. */
    public const val MAXIMUM_DEPTH: Int = 64

    /** Returns whether the values in [text] are nested at most [MAXIMUM_DEPTH] deep. A text that is not JSON may give either answer. */
    public fun isWithinLimit(text: String): Boolean {
        var depth = 0
        var position = 0
        while (position < text.length) {
            when (text[position]) {
                '"' -> position = endOfString(text, position)
                '{', '[' -> if (++depth > MAXIMUM_DEPTH) return false
                '}', ']' -> depth--
            }
            position++
        }
        return true
    }

    /** Returns the position of the quotation mark that ends the string at [start], or the length of [text] if there is none. */
    private fun endOfString(
        text: String,
        start: Int,
    ): Int {
        var position = start + 1
        while (position < text.length && text[position] != '"') position += if (text[position] == '\\') 2 else 1
        return position
    }
}
