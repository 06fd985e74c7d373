package org.celeryusher.kernel.configuration

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * The nesting depth and the duplicate object members of a JSON text, which the JSON library does not report.
 *
 * The scan does not check syntax. For a text that is not JSON it terminates, but the result is meaningless.
 */
internal class JsonTextScan private constructor(
    val maximumDepth: Int,
    val duplicates: List<DuplicateMember>,
) {
    /** A repeated occurrence of the member [name] in an object, at [path]. */
    data class DuplicateMember(
        val path: JsonPath,
        val name: String,
    )

    /** An object or array that encloses the current character. */
    private class Container(
        val path: JsonPath,
        val isObject: Boolean,
    ) {
        private val names = mutableSetOf<String>()
        private var currentName: String? = null
        private var index = 0

        val childPath: JsonPath get() = currentName?.let(path::member) ?: if (isObject) path else path.element(index)
        val expectsName: Boolean get() = isObject && currentName == null

        fun enterMember(name: String): Boolean {
            currentName = name
            return names.add(name)
        }

        fun enterNext() {
            currentName = null
            index++
        }
    }

    private class Scanner(
        private val text: String,
        private val depthLimit: Int,
    ) {
        private val open = ArrayDeque<Container>()
        private val duplicates = mutableListOf<DuplicateMember>()
        private var maximumDepth = 0
        private var position = 0

        fun scan(): JsonTextScan {
            while (position < text.length && maximumDepth <= depthLimit) {
                when (text[position]) {
                    '"' -> scanString()
                    '{' -> enter(isObject = true)
                    '[' -> enter(isObject = false)
                    '}', ']' -> open.removeLastOrNull()
                    ',' -> open.lastOrNull()?.enterNext()
                }
                position++
            }
            return JsonTextScan(maximumDepth, duplicates)
        }

        private fun enter(isObject: Boolean) {
            open.addLast(Container(open.lastOrNull()?.childPath ?: JsonPath.ROOT, isObject))
            maximumDepth = maxOf(maximumDepth, open.size)
        }

        private fun scanString() {
            val start = position++
            while (position < text.length && text[position] != '"') {
                position += if (text[position] == '\\') 2 else 1
            }
            val container = open.lastOrNull() ?: return
            if (container.expectsName && position < text.length) {
                val name = unescape(text.substring(start, position + 1))
                if (!container.enterMember(name)) duplicates += DuplicateMember(container.childPath, name)
            }
        }

        private fun unescape(literal: String): String =
            try {
                Json.decodeFromString<String>(literal)
            } catch (_: SerializationException) {
                literal
            }
    }

    companion object {
        /** Returns the scan of [text], which stops early when the nesting exceeds [depthLimit]. */
        fun of(
            text: String,
            depthLimit: Int,
        ): JsonTextScan = Scanner(text, depthLimit).scan()
    }
}
