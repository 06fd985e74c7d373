package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDelta
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** Decides what a node sends to peers that lack its configuration, within its bounds on transfers and bytes. The caller synchronizes. */
public class TransferPlanner(
    private val settings: SpreadSettings = SpreadSettings(),
) {
    private val earlier = BoundedMap<ConfigurationDigest, ConfigurationSnapshot>(settings.deltaBases)
    private val deltas = BoundedMap<ConfigurationDigest, String>(settings.deltaBases)
    private val budget = ByteBudget(settings.bytesPerSecond, settings.burstBytes)
    private val active = mutableMapOf<InstanceName, Moment>()
    private var held: ConfigurationSnapshot? = null

    /** Takes in that [snapshot] is in force now; what was in force before serves as a base of deltas. */
    public fun inForce(snapshot: ConfigurationSnapshot) {
        held?.let { earlier[it.digest] = it }
        earlier.values.map { it.digest }.forEach { deltas.remove(it) }
        held = snapshot
    }

    /** Returns the delta to send along with a push to nodes that presumably hold [base], or null when it is not small. */
    public fun deltaForPush(base: ConfigurationDigest?): String? =
        base?.let(::deltaFrom)?.takeIf { bytesOf(it) <= settings.smallDeltaBytes }

    /** Returns what to answer at [now] to [peer], which holds [peerHeld] and asks for something newer. Report the end by [ended]. */
    public fun answer(
        peer: InstanceName,
        peerHeld: ConfigurationDigest?,
        now: Moment,
    ): TransferDecision {
        val target = held ?: return TransferDecision.Nothing
        if (peerHeld != null && peerHeld.version >= target.digest.version) return TransferDecision.Nothing
        val delta = peerHeld?.let(::deltaFrom)
        val text = delta ?: target.canonicalText
        val wait = waitFor(peer, bytesOf(text), now)
        if (wait > Duration.ZERO) return TransferDecision.Busy(wait)
        active[peer] = now
        budget.spend(bytesOf(text), now)
        return if (delta != null) TransferDecision.Delta(target.digest, delta) else TransferDecision.Whole(target.digest, text)
    }

    /** Takes in that the transfer to [peer] ended, whether it succeeded or not. */
    public fun ended(peer: InstanceName) {
        active.remove(peer)
    }

    private fun waitFor(
        peer: InstanceName,
        bytes: Int,
        now: Moment,
    ): Duration {
        active.values.removeIf { now >= it + settings.transferTimeout }
        val tooMany = peer in active || active.size >= settings.transfersAtOnce
        return when {
            tooMany -> settings.pullTimeout
            bytes <= settings.smallDeltaBytes -> Duration.ZERO
            else -> budget.waitAt(now)
        }
    }

    /** Returns the delta from [base], or null when the base is not kept or the delta would be larger than half the document. */
    private fun deltaFrom(base: ConfigurationDigest): String? {
        val target = held ?: return null
        val from = earlier[base] ?: return null
        val text = deltas[base] ?: ConfigurationDelta.between(from, target).encode().also { deltas[base] = it }
        return text.takeIf { it.length <= target.canonicalText.length / 2 }
    }

    private fun bytesOf(text: String): Int = text.encodeToByteArray().size
}
