package org.celeryusher.node.control

import kotlinx.coroutines.CoroutineScope
import org.celeryusher.kernel.distribution.ConfigurationRecency
import org.celeryusher.kernel.time.Moment

/** Keeps one node's configuration and its view of the fleet up to date. */
public interface FleetControl {
    /** Whether new work must wait because this node has started or resumed, and its view of the fleet is not up to date yet. */
    public val needsRefresh: Boolean

    /** Starts the control plane, which runs until [stop] or the end of [scope]. */
    public suspend fun start(scope: CoroutineScope)

    /** Announces that this node is leaving the fleet. */
    public suspend fun leave()

    /** Stops the control plane. */
    public suspend fun stop()

    /** Handles the new state of the backend server that this node fronts. */
    public fun updateBackendServerState(serverState: BackendServerState)

    /** Returns how recent the configuration in force is at [now], or null where nothing states whether it is the newest one. */
    public fun configurationRecency(now: Moment): ConfigurationRecency? = null

    /** Returns the current status. */
    public fun status(): ControlStatus

    /** Returns the status at [now]. */
    public fun status(now: Moment): ControlStatus
}
