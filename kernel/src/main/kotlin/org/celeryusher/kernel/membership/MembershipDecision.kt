package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import kotlin.time.Duration

/** An action that the runtime carries out for [Membership]. */
public sealed interface MembershipDecision {
    /**
     * Send [message] to [address] and report the outcome with [number].
     *
     * [peer] is null when only the address is known, as for a seed. The outcome is reported as [MembershipEvent.ExchangeAnswered], or
     * as [MembershipEvent.ExchangeFailed] no later than [timeout] after the start.
     */
    public data class StartExchange(
        public val number: Long,
        public val peer: InstanceName?,
        public val address: Address,
        public val message: GossipMessage,
        public val timeout: Duration,
        public val purpose: ExchangePurpose,
    ) : MembershipDecision

    /** Answer the received message with [message]. */
    public data class Reply(
        public val message: GossipMessage,
    ) : MembershipDecision

    /** Place no new work before [PlacingAllowed], because the view of this node may be stale. */
    public data class RefreshBeforePlacing(
        public val cause: RefreshCause,
    ) : MembershipDecision

    /** New work may be placed; [isRefreshed] is false if too few peers answered within [MembershipSettings.refreshWait]. */
    public data class PlacingAllowed(
        public val isRefreshed: Boolean,
    ) : MembershipDecision

    /** The view of the fleet changed to [view]; [changes] state the reasons. */
    public data class ViewChanged(
        public val view: MembershipView,
        public val changes: List<MemberChange>,
    ) : MembershipDecision

    /** This node raised its incarnation to [incarnation]; the start rises too if the previous process had a clock ahead of this one's. */
    public data class IncarnationRaised(
        public val incarnation: Incarnation,
        public val cause: MemberState,
    ) : MembershipDecision
}

/** The purpose of an exchange. */
public enum class ExchangePurpose {
    /** A direct probe of a member. */
    PROBE,

    /** A request to another node to probe a member that did not answer this node. */
    PROBE_THROUGH,

    /** A probe that this node makes for another node. */
    RELAYED_PROBE,

    /** A probe of a dead member, which may have come back. */
    DEAD_PROBE,

    /** Dissemination of updates, or the result of a relayed probe. */
    GOSSIP,

    /** A page of an anti-entropy comparison of the member lists. */
    SYNC,
}

/** Why new work must wait for a refresh. */
public enum class RefreshCause {
    STARTED,
    PAUSED,

    /** Other nodes had declared this node dead. */
    DECLARED_DEAD,
}

/** One change of a member's state, for the decision log; [from] is null for a new member, [to] is null for a removed one. */
public data class MemberChange(
    public val instance: InstanceName,
    public val from: MemberState?,
    public val to: MemberState?,
    public val reason: MemberChangeReason,
)

/** Why a member's state changed. */
public enum class MemberChangeReason {
    /** A message of the member itself reported it. */
    OWN_WORD,

    /** An update from another node reported it. */
    NEWS,

    /** The platform's list showed it. */
    PLATFORM_LIST,

    /** Neither the direct probe of this node nor the probes that others made for it were answered. */
    PROBE_UNANSWERED,

    /** The member did not refute the suspicion before the timeout. */
    SUSPICION_EXPIRED,

    /** The member stays suspected because too many others were suspected or evicted ([EvictionLimiter]). */
    EVICTION_HELD,

    /** This node withdrew its suspicion because it had been paused itself. */
    OWN_PAUSE,

    /** The tombstone of the dead member was removed. */
    TOMBSTONE_EXPIRED,
}
