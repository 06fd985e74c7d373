package org.celeryusher.node.call

import org.celeryusher.kernel.execution.CallTarget
import org.celeryusher.kernel.routing.HeldRoute
import org.celeryusher.kernel.routing.ResolvedRoute

/** What calls on this route are sent to. */
internal val ResolvedRoute.target: CallTarget get() = CallTarget(declaration.name, service.name)

/** What calls on this route would be sent to. */
internal val HeldRoute.target: CallTarget get() = CallTarget(declaration.name, declaration.service)
