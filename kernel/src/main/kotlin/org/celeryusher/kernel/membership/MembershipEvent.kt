package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import kotlin.time.Duration

/** An event that [Membership] handles. */
public sealed interface MembershipEvent {
    /** Time has passed. Send this event every [MembershipSettings.tickInterval]; a late one counts as a pause of this process. */
    public data object Ticked : MembershipEvent

    /** The platform's list was read. A list with a lower revision than an earlier one is ignored. */
    public data class PlatformListed(
        public val list: PlatformInstanceList,
    ) : MembershipEvent

    /** Another node started an exchange; the decisions contain exactly one [MembershipDecision.Reply] to send back. */
    public data class MessageReceived(
        public val message: GossipMessage,
    ) : MembershipEvent

    /** The exchange with [number] was answered, possibly after its timeout. */
    public data class ExchangeAnswered(
        public val number: Long,
        public val message: GossipMessage,
    ) : MembershipEvent

    /** The exchange with [number] failed: it was refused, was interrupted or timed out, or its answer was invalid. */
    public data class ExchangeFailed(
        public val number: Long,
    ) : MembershipEvent

    /** A call to [instance] was refused or interrupted. The member is probed at once, since a failed call alone is weak evidence. */
    public data class CallFailed(
        public val instance: InstanceName,
    ) : MembershipEvent

    /** The runtime detected by other means than a late tick that this process was paused for [duration]. */
    public data class PauseDetected(
        public val duration: Duration,
    ) : MembershipEvent

    /** This node starts to leave: it accepts no new work and finishes its running calls. */
    public data object LeaveStarted : MembershipEvent

    /** This node is about to stop; the exchanges that result from this event are its last. */
    public data object Stopping : MembershipEvent
}
