package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import kotlin.time.Duration

/** Something that happened to a node and that [Membership] decides on. */
public sealed interface MembershipEvent {
    /** Time passed. Send one every [MembershipSettings.tickInterval]; a late one counts as a pause of this process. */
    public data object Ticked : MembershipEvent

    /** The platform's list was read. One with a lower revision than an earlier one is ignored. */
    public data class PlatformListed(
        public val list: PlatformInstanceList,
    ) : MembershipEvent

    /** Another node started an exchange; the decisions contain exactly one [MembershipDecision.Reply] to send back. */
    public data class MessageReceived(
        public val message: GossipMessage,
    ) : MembershipEvent

    /** The exchange with [number] was answered, late or not. */
    public data class ExchangeAnswered(
        public val number: Long,
        public val message: GossipMessage,
    ) : MembershipEvent

    /** The exchange with [number] failed: refused, broken off, timed out, or its answer could not be read. */
    public data class ExchangeFailed(
        public val number: Long,
    ) : MembershipEvent

    /** A call to [instance] was refused or broke off; the member is probed out of turn, since a failed call alone proves little. */
    public data class CallFailed(
        public val instance: InstanceName,
    ) : MembershipEvent

    /** The runtime found that this process stood still for [duration], by other means than a late tick. */
    public data class PauseDetected(
        public val duration: Duration,
    ) : MembershipEvent

    /** This node starts to leave: it takes no new work and finishes what it has. */
    public data object LeaveStarted : MembershipEvent

    /** This node is about to stop; the exchanges decided on are its last. */
    public data object Stopping : MembershipEvent
}
