package org.celeryusher.kernel.admission

import kotlin.time.Duration

/** What a backend server states about itself in an answer. */
public data class ServerNotice(
    /** The number of requests a second that the server takes from all instances together, or null if it states no limit. */
    public val requestsPerSecond: Double? = null,
    /** Whether the server is leaving. */
    public val isLeaving: Boolean = false,
    /** The load that the server counts itself, or null if it states none. */
    public val load: ServerLoad? = null,
    /** How long the server stays cold from now on, or null if it does not state it. */
    public val coldRemaining: Duration? = null,
)

/** The load of a backend server as it counts it itself. */
public data class ServerLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    /** How long work takes on the server now, as a multiple of the usual time; null if the server does not state it. */
    public val slowdown: Double? = null,
)
