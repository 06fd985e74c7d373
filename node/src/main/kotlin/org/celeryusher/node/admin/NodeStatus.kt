package org.celeryusher.node.admin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetException
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.routing.RoutingTable
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.control.ControlStatus
import org.celeryusher.node.log.Decision
import org.celeryusher.node.metrics.CallCount

/** The status of one node, for operators. Times are ages in milliseconds because the clocks of nodes differ. */
@Serializable
public data class NodeStatus(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val incarnation: Incarnation,
    /** How long the process has run. The status covers nothing from before its start. */
    public val upMilliseconds: Long,
    /** Why the node is not ready for calls; null when it is ready. */
    public val notReady: String? = null,
    /** The configuration version in force; null when there is none. */
    public val version: Long? = null,
    /** The state of the control plane; its list of members leaves out live ones. */
    public val control: ControlStatus? = null,
    public val routes: RouteStatus,
    public val members: MemberCounts,
    public val guard: GuardStatus? = null,
    /** The exceptions in force at this node. */
    public val exceptions: List<FleetException>,
    /** The number of calls through this node by outcome, since the process start. */
    public val calls: List<CallCount>,
    public val decisions: List<DecisionStatus>,
    /** The number of decisions that were discarded to make room for later ones. */
    public val forgottenDecisions: Long,
    public val sections: Map<String, JsonElement> = emptyMap(),
)

/** The routes that a node can serve, and those that are held back because no live backend server provides their service. */
@Serializable
public data class RouteStatus(
    public val resolved: List<RouteName>,
    public val held: List<RouteName>,
) {
    internal companion object {
        fun of(table: RoutingTable?): RouteStatus =
            RouteStatus(
                resolved = table?.resolved.orEmpty().map { it.declaration.name },
                held = table?.held.orEmpty().map { it.declaration.name },
            )
    }
}

/** The number of members in each state, as one node sees them. */
@Serializable
public data class MemberCounts(
    public val live: Int,
    public val suspected: Int,
    public val leaving: Int,
    public val dead: Int,
) {
    internal companion object {
        fun of(view: MembershipView): MemberCounts {
            val counts = view.members.groupingBy { it.state }.eachCount()
            return MemberCounts(
                live = counts[MemberState.LIVE] ?: 0,
                suspected = counts[MemberState.SUSPECTED] ?: 0,
                leaving = counts[MemberState.LEAVING] ?: 0,
                dead = counts[MemberState.DEAD] ?: 0,
            )
        }
    }
}

/** The load of the guard (the admission control in front of the backend server of a node), in total and by rank. */
@Serializable
public data class GuardStatus(
    public val limit: Int,
    public val running: Int,
    public val queued: Int,
    public val ranks: List<RankStatus>,
) {
    internal companion object {
        fun of(
            load: GuardLoad,
            snapshot: ConfigurationSnapshot?,
        ): GuardStatus {
            val names =
                snapshot
                    ?.document
                    ?.ranks
                    .orEmpty()
                    .map { it.name }
            val ranks =
                load.ranks.mapIndexed { position, rank ->
                    RankStatus(names.getOrElse(position) { RankName("rank-$position") }, rank.estimatedWaitMilliseconds, rank.accepting)
                }
            return GuardStatus(load.limit, load.running, load.queued, ranks)
        }
    }
}

/** The estimated wait of a call of one rank that arrives now, and whether the guard accepts such a call. */
@Serializable
public data class RankStatus(
    public val rank: RankName,
    public val estimatedWaitMilliseconds: Long,
    public val accepting: Boolean,
)

/** A recent decision of the node. */
@Serializable
public data class DecisionStatus(
    public val agoMilliseconds: Long,
    public val subject: String,
    public val decided: String,
    public val reason: String,
    public val inputs: Map<String, String>,
) {
    internal companion object {
        fun of(
            decision: Decision,
            now: Moment,
        ): DecisionStatus =
            DecisionStatus((now - decision.at).inWholeMilliseconds, decision.subject, decision.decided, decision.reason, decision.inputs)
    }
}
