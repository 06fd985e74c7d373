package org.celeryusher.node.runtime

import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.RegionName
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.routing.RoutingTable
import java.util.concurrent.CopyOnWriteArrayList

/**
 * The configuration in force and the membership view of one node, and the routing table compiled from both.
 *
 * Readers see one immutable [Current] value, which is replaced in one assignment, so no reader sees a partially applied configuration.
 */
public class RoutingState(
    private val place: FleetPlace,
    private val regions: Map<DataCentreName, RegionName> = emptyMap(),
) {
    /** An immutable snapshot of the state. [snapshot] and [table] are null while no configuration is in force. */
    public class Current(
        public val snapshot: ConfigurationSnapshot?,
        public val view: MembershipView,
        public val table: RoutingTable?,
    )

    /** The current state. */
    @Volatile
    public var current: Current = Current(null, MembershipView.EMPTY, null)
        private set

    private val listeners = CopyOnWriteArrayList<(Current) -> Unit>()

    /** Adds [listener], which is called with each new value, in the thread that replaces it and before readers see it. */
    public fun onChange(listener: (Current) -> Unit) {
        listeners += listener
    }

    /** Puts [snapshot] in force. */
    @Synchronized
    public fun putInForce(snapshot: ConfigurationSnapshot): Unit = replace(snapshot, current.view)

    /** Replaces the members by those of [view]. The evacuations, which have a source of their own, stay as they are. */
    @Synchronized
    public fun updateView(view: MembershipView): Unit = replace(current.snapshot, view.withEvacuated(current.view.evacuated))

    /** Replaces the evacuated data centres by [evacuated]. */
    @Synchronized
    public fun updateEvacuated(evacuated: Set<DataCentreName>): Unit = replace(current.snapshot, current.view.withEvacuated(evacuated))

    private fun replace(
        snapshot: ConfigurationSnapshot?,
        view: MembershipView,
    ) {
        val next = Current(snapshot, view, snapshot?.let { RoutingTable.compile(it, view, place, regions) })
        // The guard must have a configuration before any reader sees that it is in force.
        listeners.forEach { it(next) }
        current = next
    }
}
