package org.celeryusher.node.call

import org.celeryusher.kernel.admission.ServerNotice
import org.celeryusher.node.http.HeaderField
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The names of the header fields with the metadata of a call, as callers, backend servers and nodes exchange it.
 *
 * The defaults are celeryusher's own names. The adapter of a platform with other conventions replaces them.
 */
public data class CallHeaders(
    /** Request header: the time until the deadline, in milliseconds. */
    public val deadline: String = CeleryusherHeaders.DEADLINE,
    /** Request and response header: the caller's identifier of an attempt, which backend servers echo. Null when the platform has none. */
    public val attempt: String? = null,
    /** Request header to a backend server: the instance that must run the call; any other one refuses it. */
    public val expectedServer: String? = null,
    /** Request header to a backend server: the service that the call comes from, set by the node. */
    public val callerService: String? = null,
    /** Response header of a backend server: marks a refusal without having run the work (load shedding). */
    public val shed: String = CeleryusherHeaders.SHED,
    /** Decodes what a backend server states about itself in the header of a response, or null when the platform's servers state nothing. */
    public val notices: ServerNoticeDecoder? = null,
    /** Whether `Retry-After` may have a fraction of a second; the HTTP standard allows whole seconds only. */
    public val retryAfterHasFraction: Boolean = false,
) {
    /** Returns whether the field [name] is set by nodes, so that the value from a caller is dropped. */
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

/** Decodes what a backend server states about itself in the header of a response. */
public fun interface ServerNoticeDecoder {
    /** Returns the notice in [header]. */
    public fun decode(header: List<HeaderField>): ServerNotice
}

/** Returns the value of the attempt header in [headers], or null when it is absent or the platform has none. */
internal fun CallHeaders.attemptOf(headers: List<HeaderField>): String? =
    attempt?.let { name -> headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value }
