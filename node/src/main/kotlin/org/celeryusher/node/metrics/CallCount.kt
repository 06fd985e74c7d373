package org.celeryusher.node.metrics

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName

/**
 * The number of calls on one route with one outcome.
 *
 * [error] is null for answered calls; [route] and [rank] are null for calls that matched no route.
 */
@Serializable
public data class CallCount(
    public val route: RouteName?,
    public val rank: RankName?,
    public val error: ErrorKind?,
    public val count: Long,
)
