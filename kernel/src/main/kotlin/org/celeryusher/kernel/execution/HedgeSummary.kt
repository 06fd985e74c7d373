package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.RouteName
import kotlin.time.Duration

/** What a [HedgePolicy] knows about one route. */
public data class HedgeSummary(
    public val route: RouteName,
    /** The latency that 99 of 100 recent first attempts did not exceed, or null without any. */
    public val highLatency: Duration?,
    /** The number of first attempts in the window. */
    public val firstAttempts: Int,
    /** The number of copies in the window. */
    public val copies: Int,
)
