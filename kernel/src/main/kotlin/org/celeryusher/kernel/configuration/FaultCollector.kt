package org.celeryusher.kernel.configuration

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/** Collects up to [MAXIMUM_FAULTS] faults of one document, in the order in which they are found. */
internal class FaultCollector {
    private val found = mutableListOf<ConfigurationFault>()

    /** Adds a fault with [message] about the JSON value [offending] at [path]. */
    fun add(
        path: JsonPath,
        offending: JsonElement,
        message: String,
    ): Unit = addVerbatim(path, offending.toString(), message)

    /** Adds a fault with [message] about the string [offending] at [path], which is shown as a JSON string. */
    fun add(
        path: JsonPath,
        offending: String,
        message: String,
    ): Unit = add(path, JsonPrimitive(offending), message)

    /** Adds a fault that shows [offending] as it is, truncated to [MAXIMUM_QUOTED_CHARACTERS]. */
    fun addVerbatim(
        path: JsonPath,
        offending: String,
        message: String,
    ) {
        if (found.size < MAXIMUM_FAULTS) found += ConfigurationFault(path.text, shortened(offending), message)
    }

    /** Returns whether no fault has been found. */
    fun isEmpty(): Boolean = found.isEmpty()

    /** Returns the distinct faults, or null when there are none. */
    fun toFaultsOrNull(): NonEmptyList<ConfigurationFault>? = found.distinct().toNonEmptyListOrNull()

    private fun shortened(text: String): String =
        if (text.length <= MAXIMUM_QUOTED_CHARACTERS) text else text.take(MAXIMUM_QUOTED_CHARACTERS) + "…"

    private companion object {
        const val MAXIMUM_FAULTS = 1_000
        const val MAXIMUM_QUOTED_CHARACTERS = 120
    }
}
