package org.celeryusher.node.call

import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment

/** One attempt of a call, as a proxy hands it to a guard. */
public class GuardCall(
    /** Names this attempt; no two attempts share one. */
    public val attempt: String,
    public val route: RouteName,
    public val rankPosition: Int,
    public val request: CallRequest,
    public val deadline: Moment,
    /** The life of the guard's node that the proxy means, when it knows it. */
    public val incarnationStart: Long?,
    public val ticket: String?,
)
