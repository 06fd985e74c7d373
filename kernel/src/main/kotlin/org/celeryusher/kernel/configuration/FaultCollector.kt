package org.celeryusher.kernel.configuration

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/** Gathers the faults of one document, in the order in which they are found, up to [MAXIMUM_FAULTS]. */
internal class FaultCollector {
    private val found = mutableListOf<ConfigurationFault>()

    /** Adds the fault that the value [offending] at [path] is wrong as [message] says. */
    fun add(
        path: JsonPath,
        offending: JsonElement,
        message: String,
    ): Unit = addQuoted(path, offending.toString(), message)

    /** Adds the fault that the text [offending] at [path] is wrong as [message] says. */
    fun add(
        path: JsonPath,
        offending: String,
        message: String,
    ): Unit = add(path, JsonPrimitive(offending), message)

    /** Adds a fault whose offending value is given as it shall be shown, cut when it is long. */
    fun addQuoted(
        path: JsonPath,
        offending: String,
        message: String,
    ) {
        if (found.size < MAXIMUM_FAULTS) found += ConfigurationFault(path.text, shortened(offending), message)
    }

    /** Returns whether no fault was found yet. */
    fun isEmpty(): Boolean = found.isEmpty()

    /** Returns the faults without repetition, or null when there is none. */
    fun toFaultsOrNull(): NonEmptyList<ConfigurationFault>? = found.distinct().toNonEmptyListOrNull()

    private fun shortened(text: String): String =
        if (text.length <= MAXIMUM_QUOTED_CHARACTERS) text else text.take(MAXIMUM_QUOTED_CHARACTERS) + "…"

    private companion object {
        const val MAXIMUM_FAULTS = 1_000
        const val MAXIMUM_QUOTED_CHARACTERS = 120
    }
}
