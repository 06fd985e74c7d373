package org.celeryusher.node.metrics

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName

/** How often calls on one route ended in one way; [error] is null for answers, [route] and [rank] for calls that matched no route. */
@Serializable
public data class CallCount(
    public val route: RouteName?,
    public val rank: RankName?,
    public val error: ErrorKind?,
    public val count: Long,
)
