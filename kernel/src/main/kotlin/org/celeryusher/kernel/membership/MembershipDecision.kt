package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import kotlin.time.Duration

/** What [Membership] wants done. */
public sealed interface MembershipDecision {
    /**
     * Send [message] to [address] and report the outcome under [number].
     *
     * [peer] is null when only the address is known, as for a seed. The outcome is reported as [MembershipEvent.ExchangeAnswered], or
     * as [MembershipEvent.ExchangeFailed] after [timeout] at the latest.
     */
    public data class StartExchange(
        public val number: Long,
        public val peer: InstanceName?,
        public val address: Address,
        public val message: GossipMessage,
        public val timeout: Duration,
        public val purpose: ExchangePurpose,
    ) : MembershipDecision

    /** Answer the exchange that the event brought with [message]. */
    public data class Reply(
        public val message: GossipMessage,
    ) : MembershipDecision

    /** Place no new work before [PlacingAllowed]: what this node believes may be out of date. */
    public data class RefreshBeforePlacing(
        public val cause: RefreshCause,
    ) : MembershipDecision

    /** New work may be placed; [refreshed] is false when too few peers answered within [MembershipSettings.refreshWait]. */
    public data class PlacingAllowed(
        public val refreshed: Boolean,
    ) : MembershipDecision

    /** The picture of the fleet changed to [view], for the reasons in [changes]. */
    public data class ViewChanged(
        public val view: MembershipView,
        public val changes: List<MemberChange>,
    ) : MembershipDecision

    /** This node's own incarnation rose to [incarnation]; its start rises too when the process before it had a clock ahead of this one's. */
    public data class IncarnationRaised(
        public val incarnation: Incarnation,
        public val cause: MemberState,
    ) : MembershipDecision
}

/** Why an exchange is started. */
public enum class ExchangePurpose {
    /** A member's turn to show that it answers. */
    PROBE,

    /** Another node is asked to probe a member that did not answer this node. */
    PROBE_THROUGH,

    /** A probe made for another node. */
    RELAYED_PROBE,

    /** A dead member may have come back. */
    DEAD_PROBE,

    /** News, or the result of a relayed probe. */
    GOSSIP,

    /** Comparison of the member lists, page by page. */
    SYNC,
}

/** Why new work must wait for a refresh. */
public enum class RefreshCause {
    STARTED,
    PAUSED,

    /** Others had confirmed this node dead. */
    DECLARED_DEAD,
}

/** One change of a member's state, for the decision log; a null [from] stands for a member that was unknown, a null [to] for a forgotten one. */
public data class MemberChange(
    public val instance: InstanceName,
    public val from: MemberState?,
    public val to: MemberState?,
    public val reason: MemberChangeReason,
)

/** Why a member's state changed. */
public enum class MemberChangeReason {
    /** The member's own message said so. */
    OWN_WORD,

    /** Another node passed it on. */
    NEWS,

    /** The platform's list said so. */
    PLATFORM_LIST,

    /** Neither this node's probe nor those made for it were answered. */
    PROBE_UNANSWERED,

    /** The suspicion was not refuted in time. */
    SUSPICION_EXPIRED,

    /** Too many others were suspected or evicted, so the member stays suspected. */
    EVICTION_HELD,

    /** This node was paused when it made the suspicion. */
    OWN_PAUSE,

    /** It was dead for long. */
    TOMBSTONE_EXPIRED,
}
