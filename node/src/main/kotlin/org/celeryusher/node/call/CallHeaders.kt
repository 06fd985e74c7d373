package org.celeryusher.node.call

import org.celeryusher.node.http.HeaderField
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The names of the header fields by which callers, backend servers and nodes tell each other what concerns one call.
 *
 * The defaults are celeryusher's own names. A platform whose callers and backend servers speak otherwise gives its own.
 */
public data class CallHeaders(
    /** How many milliseconds the caller, or the node on its behalf, still waits; request. */
    public val deadline: String = CeleryusherHeaders.DEADLINE,
    /** The caller's name for one try of a call, which a backend server repeats in its answer; null when there is none. */
    public val attempt: String? = null,
    /** The backend server that is to run the work; any other refuses it; request to a backend server. */
    public val expectedServer: String? = null,
    /** The service on whose instance the call began, set by the node; request to a backend server. */
    public val callerService: String? = null,
    /** Marks a refusal by a backend server that did not run the work; answer of a backend server. */
    public val shed: String = CeleryusherHeaders.SHED,
    /** Whether `Retry-After` may have a fraction of a second; HTTP itself knows whole seconds only. */
    public val retryAfterHasFraction: Boolean = false,
) {
    /** Returns whether callers may not set the field [name], because nodes do. */
    internal fun isSetByNodes(name: String): Boolean =
        name.equals(callerService, ignoreCase = true) || name.equals(expectedServer, ignoreCase = true)

    /** Returns the value of `Retry-After` for [wait]. */
    internal fun retryAfter(wait: Duration): String =
        if (retryAfterHasFraction) {
            (wait.coerceAtLeast(Duration.ZERO).inWholeMilliseconds / MILLISECONDS_PER_SECOND).toString()
        } else {
            wait.toLong(DurationUnit.SECONDS).coerceAtLeast(1).toString()
        }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}

/** Returns the value of the attempt field that [headers] carry, or null. */
internal fun CallHeaders.attemptOf(headers: List<HeaderField>): String? =
    attempt?.let { name -> headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value }
