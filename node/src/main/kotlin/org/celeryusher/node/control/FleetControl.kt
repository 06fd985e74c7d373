package org.celeryusher.node.control

import kotlinx.coroutines.CoroutineScope
import org.celeryusher.kernel.time.Moment

/** Keeps one node's configuration and its view of the fleet up to date. */
public interface FleetControl {
    /** Whether new work must wait because this node has just started or woken up, and does not know yet what it missed. */
    public val needsRefresh: Boolean

    /** Begins the control work, until [stop] or the end of [scope]. */
    public suspend fun start(scope: CoroutineScope)

    /** Tells whoever must know that this node leaves soon. */
    public suspend fun leave()

    /** Ends all control work. */
    public suspend fun stop()

    /** Takes in what the backend server beside this node is in. */
    public fun backendServerState(serverState: BackendServerState)

    /** Returns what is known now. */
    public fun status(): ControlStatus

    /** Returns what is known at [now]. */
    public fun status(now: Moment): ControlStatus
}
