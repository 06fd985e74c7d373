package org.celeryusher.kernel.routing

import org.celeryusher.kernel.time.Moment

/** The load of a backend server as reported by its health endpoint or the platform. May be outdated or wrong. */
public data class ReportedLoad(
    public val slots: Int,
    public val running: Int,
    public val queued: Int,
    /** Whether the server reports that it accepts calls. */
    public val ready: Boolean,
    /** When the load was measured, which may be well before the report arrived. */
    public val measuredAt: Moment,
)
