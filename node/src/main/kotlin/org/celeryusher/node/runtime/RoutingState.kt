package org.celeryusher.node.runtime

import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.routing.RoutingTable
import java.util.concurrent.CopyOnWriteArrayList

/**
 * The configuration in force and the membership view of one node, and the routing table compiled from the two.
 *
 * Readers see one immutable [Current] value; it is replaced in one assignment, so no reader meets a half-applied configuration.
 */
public class RoutingState(
    private val place: FleetPlace,
) {
    /** What holds at one time. [table] is null while no configuration is in force. */
    public class Current(
        public val snapshot: ConfigurationSnapshot?,
        public val view: MembershipView,
        public val table: RoutingTable?,
    )

    /** What holds now. */
    @Volatile
    public var current: Current = Current(null, MembershipView.EMPTY, null)
        private set

    private val listeners = CopyOnWriteArrayList<(Current) -> Unit>()

    /** Has [listener] called with each new value, in the thread that replaces it and before readers see it. */
    public fun onChange(listener: (Current) -> Unit) {
        listeners += listener
    }

    /** Puts [snapshot] in force. */
    @Synchronized
    public fun putInForce(snapshot: ConfigurationSnapshot): Unit = replace(snapshot, current.view)

    /** Takes over a new membership [view]. */
    @Synchronized
    public fun updateView(view: MembershipView): Unit = replace(current.snapshot, view)

    private fun replace(
        snapshot: ConfigurationSnapshot?,
        view: MembershipView,
    ) {
        val next = Current(snapshot, view, snapshot?.let { RoutingTable.compile(it, view, place) })
        // The guard must know a configuration before anybody can see that this node has it.
        listeners.forEach { it(next) }
        current = next
    }
}
