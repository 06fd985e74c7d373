package org.celeryusher.node.control

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.MembershipDecision
import kotlin.time.Duration

/** An action that [ControlState] requests; the outcome is reported back to it. */
internal sealed interface ControlAction {
    /** Post a gossip message and await the reply. */
    data class Exchange(
        val exchange: MembershipDecision.StartExchange,
    ) : ControlAction

    /** Announce the configuration in force here to the node at [address], with [delta] unless that is null. */
    data class Announce(
        val address: Address,
        val delta: String?,
    ) : ControlAction

    /** Request the configuration in force from [peer], as a delta from [held] unless that is null. */
    data class Pull(
        val peer: InstanceName,
        val address: Address,
        val held: ConfigurationDigest?,
    ) : ControlAction

    /** Cancel the pull from [peer], whose address is not known. */
    data class AbandonPull(
        val peer: InstanceName,
        val avoidFor: Duration,
    ) : ControlAction

    /** Request the platform's instance list from the node at [address], as a delta from [heldRevision] unless that is null. */
    data class PullInstances(
        val address: Address,
        val heldRevision: Long?,
    ) : ControlAction
}
