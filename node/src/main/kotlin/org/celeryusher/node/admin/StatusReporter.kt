package org.celeryusher.node.admin

import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.distribution.ConfigurationUse
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.control.ControlStatus
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.NodeMetrics
import org.celeryusher.node.runtime.RoutingState

/** Assembles the status of one node, whose process started at [started]. */
public class StatusReporter(
    private val place: FleetPlace,
    private val incarnation: () -> Incarnation,
    private val started: Moment,
    private val routing: RoutingState,
    private val metrics: NodeMetrics,
    private val decisions: DecisionLog,
    private val providers: StatusProviders,
) {
    /** Returns why the node is not ready for calls at [now], or null when it is ready. */
    public fun notReadyReason(now: Moment): NotReadyReason? =
        when {
            providers.stopping() -> NotReadyReason.STOPPING
            routing.current.snapshot == null -> NotReadyReason.NO_CONFIGURATION
            providers.configurationUse(now) is ConfigurationUse.None -> NotReadyReason.CONFIGURATION_OLD
            else -> null
        }

    /** Returns the settings that apply at [place], or null while no configuration is in force. */
    internal fun explain(place: FleetPlace): Explanation? = routing.current.snapshot?.let { Explanation.of(it, place) }

    /** Returns whether the configuration in force has [route]. */
    internal fun hasRoute(route: RouteName): Boolean = routing.current.snapshot?.route(route) != null

    /** Returns the status of the node at [now]. */
    public fun status(now: Moment): NodeStatus {
        val current = routing.current
        val snapshot = current.snapshot
        return NodeStatus(
            instance = place.instance,
            service = place.service,
            dataCentre = place.dataCentre,
            incarnation = incarnation(),
            upMilliseconds = (now - started).inWholeMilliseconds,
            notReady = notReadyReason(now)?.kind?.meaning,
            version = snapshot?.digest?.version,
            control = providers.control?.let { withoutLiveMembers(it(now)) },
            routes = RouteStatus.of(current.table),
            members = MemberCounts.of(current.view),
            guard = providers.guardLoad?.let { GuardStatus.of(it(now), snapshot) },
            exceptions =
                snapshot
                    ?.document
                    ?.exceptions
                    .orEmpty()
                    .filter { place.isWithin(it.scope.copy(route = null)) },
            calls = metrics.callCounts(),
            decisions = decisions.latest.map { DecisionStatus.of(it, now) },
            forgottenDecisions = decisions.discarded,
            sections = providers.sections.mapValues { (_, section) -> section.describe(now) },
        )
    }

    // A list of the live members of a large fleet would make the page long, so the status contains only their number.
    private fun withoutLiveMembers(control: ControlStatus): ControlStatus =
        control.copy(members = control.members.filter { it.state != MemberState.LIVE }.take(MAXIMUM_LISTED_MEMBERS))

    private companion object {
        const val MAXIMUM_LISTED_MEMBERS = 100
    }
}
