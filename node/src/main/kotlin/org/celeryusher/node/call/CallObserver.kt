package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.routing.ResolvedRoute
import kotlin.time.Duration

/** Is told how each routed call ended; metrics and summaries are made from it. */
public fun interface CallObserver {
    /** A call on [route] ended after [latency], with [kind] as its error or null when it was answered. */
    public fun callEnded(
        route: ResolvedRoute,
        kind: ErrorKind?,
        latency: Duration,
        retried: Boolean,
    )

    public companion object {
        /** Ignores everything. */
        public val NONE: CallObserver = CallObserver { _, _, _, _ -> }
    }
}
