package org.celeryusher.node.control

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.MembershipDecision
import kotlin.time.Duration

/** What [ControlState] wants sent; the outcome is reported back to it. */
internal sealed interface ControlAction {
    /** Post a gossip message. */
    data class Exchange(
        val exchange: MembershipDecision.StartExchange,
    ) : ControlAction

    /** Tell the node at [address] what is in force here, with [delta] when that is small. */
    data class Announce(
        val address: Address,
        val delta: String?,
    ) : ControlAction

    /** Ask [peer] for what it has in force, as a difference from [held] when that is not null. */
    data class Pull(
        val peer: InstanceName,
        val address: Address,
        val held: ConfigurationDigest?,
    ) : ControlAction

    /** Take back the pull from [peer], whose address is not known. */
    data class AbandonPull(
        val peer: InstanceName,
        val avoidFor: Duration,
    ) : ControlAction

    /** Ask the node at [address] for the platform's instance list, as a difference from [heldRevision] when that is not null. */
    data class PullInstances(
        val address: Address,
        val heldRevision: Long?,
    ) : ControlAction
}
