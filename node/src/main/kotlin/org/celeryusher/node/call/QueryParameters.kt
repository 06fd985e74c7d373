package org.celeryusher.node.call

import io.ktor.http.parseQueryString

/** Reads the query part of a request target. */
internal object QueryParameters {
    /** Returns the first value of each parameter in [query]; one that cannot be decoded counts as absent. */
    fun parse(query: String): Map<String, String> =
        try {
            parseQueryString(query).entries().associate { (name, values) -> name to values.first() }
        } catch (_: IllegalArgumentException) {
            emptyMap()
        }
}
