package org.celeryusher.kernel.configuration

/**
 * An array in the outermost object of a JSON text, split into the texts of its elements, so that each can be parsed by itself.
 *
 * Splitting takes no stack, however deeply the elements are nested.
 */
public class JsonArrayMember private constructor(
    public val name: String,
    public val elements: List<String>,
    /** The whole text with an empty array in place of this one. */
    public val textWithoutElements: String,
) {
    private class Splitter(
        private val text: String,
        private val names: Set<String>,
    ) {
        private var position = 0
        private var depth = 0
        private var lastString = ""

        fun findOrNull(): JsonArrayMember? {
            while (position < text.length) {
                when (text[position]) {
                    '"' -> skipString()
                    '[' -> if (depth == 1 && lastString in names) return splitOrNull(lastString) else depth++
                    '{' -> depth++
                    '}', ']' -> depth--
                    ',' -> lastString = ""
                }
                position++
            }
            return null
        }

        private fun splitOrNull(name: String): JsonArrayMember? {
            val open = position++
            val elements = ArrayList<String>()
            var start = position
            var nested = 0
            while (position < text.length) {
                when (text[position]) {
                    '"' -> skipString()
                    '[', '{' -> nested++
                    '}', ']' -> if (nested-- == 0) return end(name, elements + text.substring(start, position), open)
                    ',' ->
                        if (nested == 0) {
                            elements += text.substring(start, position)
                            start = position + 1
                        }
                }
                position++
            }
            return null
        }

        private fun end(
            name: String,
            elements: List<String>,
            open: Int,
        ) = JsonArrayMember(name, elements.filter { it.isNotBlank() }, text.substring(0, open + 1) + text.substring(position))

        private fun skipString() {
            val start = ++position
            while (position < text.length && text[position] != '"') position += if (text[position] == '\\') 2 else 1
            lastString = text.substring(start, minOf(position, text.length))
        }
    }

    public companion object {
        /** Returns the first array in [text] that is a member with one of [names], or null if there is none or it does not end. */
        public fun findOrNull(
            text: String,
            names: Set<String>,
        ): JsonArrayMember? = Splitter(text, names).findOrNull()
    }
}
