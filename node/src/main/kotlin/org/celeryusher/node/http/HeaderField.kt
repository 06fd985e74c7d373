package org.celeryusher.node.http

import kotlinx.serialization.Serializable

/** One HTTP header field. */
@Serializable
public data class HeaderField(
    public val name: String,
    public val value: String,
)

/** Returns the first value of the field [name], ignoring case, or null. */
internal fun List<HeaderField>.value(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/** Returns all values of the field [name], ignoring case. */
internal fun List<HeaderField>.values(name: String): List<String> = filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

/** Returns whether one of the comma-separated values of the field [name] is [token], ignoring case. */
internal fun List<HeaderField>.hasToken(
    name: String,
    token: String,
): Boolean = values(name).any { value -> value.split(',').any { it.trim().equals(token, ignoreCase = true) } }
