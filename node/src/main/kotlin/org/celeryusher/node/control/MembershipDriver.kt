package org.celeryusher.node.control

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.membership.GossipMessage
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.Membership
import org.celeryusher.kernel.membership.MembershipDecision
import org.celeryusher.kernel.membership.MembershipEvent
import org.celeryusher.kernel.membership.MembershipSettings
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.membership.PlatformInstanceList
import org.celeryusher.kernel.membership.SuspicionReport
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.RoutingState
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Drives the membership state machine: passes events to it, publishes its views to the routing, and returns the messages to send.
 *
 * Not thread-safe: [ControlState] synchronizes access.
 */
internal class MembershipDriver(
    private val own: Member,
    seeds: List<Address>,
    settings: MembershipSettings,
    private val routing: RoutingState,
    private val startedAt: Moment,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    private val membership = Membership(own, seeds, settings)
    private var wasListedAsNotLeaving = false
    private var isViewPending = false
    private var publishedAt = Moment.DISTANT_PAST

    val view: MembershipView get() = membership.view
    val incarnation: Incarnation get() = membership.incarnation
    val isRefreshing: Boolean get() = membership.isRefreshing
    val healthMultiplier: Int get() = membership.healthMultiplier
    val isLeaving: Boolean get() = view[own.instance]?.state.let { it == MemberState.LEAVING || it == MemberState.DEAD }

    init {
        routing.updateView(membership.view)
    }

    /** Publishes the latest view to the routing if [publishOrDefer] deferred that; called on each tick. */
    fun publishPending(now: Moment) {
        if (!isViewPending) return
        isViewPending = false
        publishedAt = now
        routing.updateView(membership.view)
    }

    fun suspicions(): List<SuspicionReport> = membership.suspicions()

    /** Handles [event] and returns the messages to send. */
    fun handle(
        event: MembershipEvent,
        now: Moment,
    ): List<ControlAction> = handleEvent(event, now).actions

    /** Handles another node's [message] and returns the reply and further messages to send. */
    fun receive(
        message: GossipMessage,
        now: Moment,
    ): ReceiveResult {
        val result = handleEvent(MembershipEvent.MessageReceived(message), now)
        return ReceiveResult(result.reply ?: error("membership returned no reply to a gossip message"), result.actions)
    }

    /** Starts to leave the fleet unless this node is leaving already; [reason] is logged. */
    fun leave(
        reason: String,
        now: Moment,
    ): List<ControlAction> {
        if (isLeaving) return emptyList()
        log("leave", reason)
        return handle(MembershipEvent.LeaveStarted, now)
    }

    /**
     * Starts to leave the fleet when the platform lists this instance as leaving.
     *
     * A stale list may refer to the previous process of this instance. During the first [LISTED_LEAVING_GRACE] the state therefore counts
     * only after a list has shown this instance as not leaving.
     */
    fun leaveWhenListed(now: Moment): List<ControlAction> {
        val isAboutThisProcess = wasListedAsNotLeaving || now - startedAt > LISTED_LEAVING_GRACE
        val leaves = membership.isListedAsLeaving && isAboutThisProcess
        return if (leaves) leave("the platform lists this instance as leaving", now) else emptyList()
    }

    /** Applies the platform's [list]. */
    fun applyList(
        list: PlatformInstanceList,
        now: Moment,
    ): List<ControlAction> {
        val actions = handle(MembershipEvent.PlatformListed(list), now)
        if (!membership.isListedAsLeaving) wasListedAsNotLeaving = true
        return actions + leaveWhenListed(now)
    }

    private fun handleEvent(
        event: MembershipEvent,
        now: Moment,
    ): EventResult {
        val actions = mutableListOf<ControlAction>()
        var reply: GossipMessage? = null
        for (decision in membership.handle(event, now, random)) {
            when (decision) {
                is MembershipDecision.StartExchange -> actions += ControlAction.Exchange(decision)
                is MembershipDecision.Reply -> reply = decision.message
                is MembershipDecision.ViewChanged -> publishOrDefer(decision, now)
                is MembershipDecision.RefreshBeforePlacing -> log("hold new work", decision.cause.name)
                is MembershipDecision.PlacingAllowed ->
                    log("place new work", if (decision.isRefreshed) "refreshed" else "waited long enough")
                is MembershipDecision.IncarnationRaised -> log("raise incarnation to ${decision.incarnation}", "was ${decision.cause}")
            }
        }
        return EventResult(reply, actions)
    }

    /** Publishes the view to the routing; within [MINIMUM_VIEW_INTERVAL] of the last one this is deferred to [publishPending]. */
    private fun publishOrDefer(
        decision: MembershipDecision.ViewChanged,
        now: Moment,
    ) {
        isViewPending = true
        if (now - publishedAt >= MINIMUM_VIEW_INTERVAL) publishPending(now)
        for (change in decision.changes) {
            val decided = change.to?.name ?: "FORGOTTEN"
            decisions.record(SUBJECT, decided, change.reason.name, "instance" to change.instance, "from" to change.from)
        }
    }

    private fun log(
        decided: String,
        reason: String,
    ): Unit = decisions.record(SUBJECT, decided, reason, "instance" to own.instance)

    private class EventResult(
        val reply: GossipMessage?,
        val actions: List<ControlAction>,
    )

    private companion object {
        const val SUBJECT = "membership"

        /** The minimum time between two published views; the routing table is compiled again for each of them. */
        val MINIMUM_VIEW_INTERVAL: Duration = 100.milliseconds
        val LISTED_LEAVING_GRACE: Duration = 30.seconds
    }
}

/** The reply to another node's message and further messages to send. */
internal class ReceiveResult(
    val reply: GossipMessage,
    val actions: List<ControlAction>,
)
