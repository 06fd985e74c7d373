package org.celeryusher.node.call

import io.ktor.http.parseQueryString

/** Parses the query of a request target. */
internal object QueryParameters {
    /** Returns the first value of each parameter in [query], or an empty map when the query is malformed. */
    fun parse(query: String): Map<String, String> =
        try {
            parseQueryString(query).entries().associate { (name, values) -> name to values.first() }
        } catch (_: IllegalArgumentException) {
            emptyMap()
        }
}
