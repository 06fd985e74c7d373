package org.celeryusher.kernel.routing

import org.celeryusher.kernel.time.Moment

/** What a backend server's health endpoint or the platform says about its load. It may lag or mislead. */
public data class ReportedLoad(
    public val slots: Int,
    public val running: Int,
    public val queued: Int,
    /** Whether the server says that it takes calls. */
    public val ready: Boolean,
    /** The time for which the report speaks, which may lie well before its arrival. */
    public val measuredAt: Moment,
)
