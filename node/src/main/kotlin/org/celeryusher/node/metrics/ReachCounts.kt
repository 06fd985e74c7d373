package org.celeryusher.node.metrics

/** How often the guard has not started a call because of what must not be reached. */
public data class ReachCounts(
    /** The calls that were refused because of an evacuation. */
    public val evacuated: Long = 0,
    /** The calls that were refused because their route does not allow the region of the guard. */
    public val outsideRegion: Long = 0,
    /** The pauses of the process after which calls were held back. */
    public val holds: Long = 0,
)
