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
 * Drives the membership: hands events in, views to the routing, and messages out.
 *
 * Not thread-safe: [ControlState] synchronizes.
 */
internal class MemberKeeper(
    private val own: Member,
    seeds: List<Address>,
    settings: MembershipSettings,
    private val routing: RoutingState,
    private val startedAt: Moment,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    private val membership = Membership(own, seeds, settings)
    private var wasListedAsStaying = false
    private var isViewPending = false
    private var publishedAt = Moment.DISTANT_PAST

    val view: MembershipView get() = membership.view
    val incarnation: Incarnation get() = membership.incarnation
    val isRefreshing: Boolean get() = membership.isRefreshing
    val healthMultiplier: Int get() = membership.healthMultiplier
    val isLeaving: Boolean get() = view[own.instance]?.state.let { it == MemberState.LEAVING || it == MemberState.DEAD }

    init {
        routing.takeView(membership.view)
    }

    /** Hands the latest view to the routing when that was put off; to be called with each tick. */
    fun publishPending(now: Moment) {
        if (!isViewPending) return
        isViewPending = false
        publishedAt = now
        routing.takeView(membership.view)
    }

    fun suspicions(): List<SuspicionReport> = membership.suspicions()

    /** Takes in [event]; returns what to send. */
    fun handle(
        event: MembershipEvent,
        now: Moment,
    ): List<ControlAction> = handled(event, now).actions

    /** Takes in another node's [message]; returns the answer and what to send besides. */
    fun receive(
        message: GossipMessage,
        now: Moment,
    ): Received {
        val handled = handled(MembershipEvent.MessageReceived(message), now)
        return Received(handled.reply ?: error("membership made no reply"), handled.actions)
    }

    /** Starts to leave, unless that was done; [reason] goes into the log. */
    fun leave(
        reason: String,
        now: Moment,
    ): List<ControlAction> {
        if (isLeaving) return emptyList()
        log("leave", reason)
        return handle(MembershipEvent.LeaveStarted, now)
    }

    /**
     * Starts to leave when the platform lists this instance as leaving.
     *
     * A list that lags may mean the life before this one, so in the first [LISTED_LEAVING_GRACE] only a change from another list counts.
     */
    fun leaveWhenListed(now: Moment): List<ControlAction> {
        val isOfThisLife = wasListedAsStaying || now - startedAt > LISTED_LEAVING_GRACE
        val leaves = membership.isListedAsLeaving && isOfThisLife
        return if (leaves) leave("the platform lists this instance as leaving", now) else emptyList()
    }

    /** Takes in the platform's [list]. */
    fun takeList(
        list: PlatformInstanceList,
        now: Moment,
    ): List<ControlAction> {
        val actions = handle(MembershipEvent.PlatformListed(list), now)
        if (!membership.isListedAsLeaving) wasListedAsStaying = true
        return actions + leaveWhenListed(now)
    }

    private fun handled(
        event: MembershipEvent,
        now: Moment,
    ): Handled {
        val actions = mutableListOf<ControlAction>()
        var reply: GossipMessage? = null
        for (decision in membership.handle(event, now, random)) {
            when (decision) {
                is MembershipDecision.StartExchange -> actions += ControlAction.Exchange(decision)
                is MembershipDecision.Reply -> reply = decision.message
                is MembershipDecision.ViewChanged -> takeView(decision, now)
                is MembershipDecision.RefreshBeforePlacing -> log("hold new work", decision.cause.name)
                is MembershipDecision.PlacingAllowed ->
                    log("place new work", if (decision.isRefreshed) "refreshed" else "waited long enough")
                is MembershipDecision.IncarnationRaised -> log("raise incarnation to ${decision.incarnation}", "was ${decision.cause}")
            }
        }
        return Handled(reply, actions)
    }

    /** Hands the view to the routing, unless that was done just now: then [publishPending] does. */
    private fun takeView(
        decision: MembershipDecision.ViewChanged,
        now: Moment,
    ) {
        isViewPending = true
        if (now - publishedAt >= VIEW_INTERVAL) publishPending(now)
        for (change in decision.changes) {
            val decided = change.to?.name ?: "FORGOTTEN"
            decisions.decision(SUBJECT, decided, change.reason.name, "instance" to change.instance, "from" to change.from)
        }
    }

    private fun log(
        decided: String,
        reason: String,
    ): Unit = decisions.decision(SUBJECT, decided, reason, "instance" to own.instance)

    private class Handled(
        val reply: GossipMessage?,
        val actions: List<ControlAction>,
    )

    private companion object {
        const val SUBJECT = "membership"

        /** The least time between two views given to the routing, whose table is compiled anew for each. */
        val VIEW_INTERVAL: Duration = 100.milliseconds
        val LISTED_LEAVING_GRACE: Duration = 30.seconds
    }
}

/** The answer to another node's message, and what is to be sent besides. */
internal class Received(
    val reply: GossipMessage,
    val actions: List<ControlAction>,
)
