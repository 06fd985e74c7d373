package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName

/** What a call is sent to: a [route] of the configuration, and the [service] that provides it to this call. */
public data class CallTarget(
    public val route: RouteName,
    public val service: ServiceName,
)
