package org.celeryusher.kernel.configuration

import kotlinx.serialization.json.JsonPrimitive

/** The path of a value in a JSON document, such as `$.routes[2].rank`. */
@JvmInline
internal value class JsonPath(
    val text: String,
) {
    /** Returns the path of the member [name] of the object at this path. A name that is not a plain identifier is quoted in brackets. */
    fun member(name: String): JsonPath = JsonPath(if (isPlain(name)) "$text.$name" else "$text[${JsonPrimitive(name)}]")

    /** Returns the path of the element at [index] of the array at this path. */
    fun element(index: Int): JsonPath = JsonPath("$text[$index]")

    override fun toString(): String = text

    companion object {
        val ROOT: JsonPath = JsonPath("$")

        private fun isPlain(name: String): Boolean {
            val first = name.firstOrNull() ?: return false
            return (isLetter(first) || first == '_') && name.all { isLetter(it) || it in '0'..'9' || it == '_' || it == '-' }
        }

        private fun isLetter(character: Char): Boolean = character in 'A'..'Z' || character in 'a'..'z'
    }
}
