package org.celeryusher.kernel.configuration

import kotlinx.serialization.json.JsonPrimitive

/** The path of a value in a JSON document, such as `$.routes[2].rank`. */
@JvmInline
internal value class JsonPath(
    val text: String,
) {
    /** Returns the path of the member [name] of the object at this path. A name that is not a plain identifier is quoted in brackets. */
    fun member(name: String): JsonPath = JsonPath(if (PLAIN_NAME.matches(name)) "$text.$name" else "$text[${JsonPrimitive(name)}]")

    /** Returns the path of the element at [index] of the array at this path. */
    fun element(index: Int): JsonPath = JsonPath("$text[$index]")

    override fun toString(): String = text

    companion object {
        val ROOT: JsonPath = JsonPath("$")
        private val PLAIN_NAME = Regex("[A-Za-z_][A-Za-z0-9_-]*")
    }
}
