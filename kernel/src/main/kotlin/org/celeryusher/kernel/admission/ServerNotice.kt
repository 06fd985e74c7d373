package org.celeryusher.kernel.admission

/** What a backend server states about itself in an answer. */
public data class ServerNotice(
    /** The number of requests a second that the server takes from all instances together, or null if it states no limit. */
    public val requestsPerSecond: Double? = null,
    /** Whether the server is leaving. */
    public val isLeaving: Boolean = false,
)
