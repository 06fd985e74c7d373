package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDelta
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/**
 * Decides what a node sends to peers that pull its configuration, within its limits on concurrent transfers and bytes.
 *
 * Not thread-safe: the caller synchronizes.
 */
public class TransferPlanner(
    private val settings: SpreadSettings = SpreadSettings(),
) {
    private val previousSnapshots = BoundedMap<ConfigurationDigest, ConfigurationSnapshot>(settings.deltaBases)
    private val deltasByBase = BoundedMap<ConfigurationDigest, String>(settings.deltaBases)
    private val tokenBucket = ByteTokenBucket(settings.bytesPerSecond, settings.burstBytes)
    private val activeTransfers = mutableMapOf<InstanceName, Moment>()
    private var held: ConfigurationSnapshot? = null

    /** Records that [snapshot] is now in force, and keeps the previous one as a base for deltas. */
    public fun inForce(snapshot: ConfigurationSnapshot) {
        held?.let { previousSnapshots[it.digest] = it }
        previousSnapshots.values.map { it.digest }.forEach { deltasByBase.remove(it) }
        held = snapshot
    }

    /** Returns the delta to include in a push to nodes that probably hold [base], or null when there is none or it is too large to push. */
    public fun deltaForPush(base: ConfigurationDigest?): String? =
        base?.let(::deltaFrom)?.takeIf { bytesOf(it) <= settings.smallDeltaBytes }

    /** Returns the answer at [now] to a pull from [peer], which holds [peerHeld]. Report the end of the transfer by [ended]. */
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
        activeTransfers[peer] = now
        tokenBucket.spend(bytesOf(text), now)
        return if (delta != null) TransferDecision.Delta(target.digest, delta) else TransferDecision.Whole(target.digest, text)
    }

    /** Records that the transfer to [peer] ended, successfully or not. */
    public fun ended(peer: InstanceName) {
        activeTransfers.remove(peer)
    }

    private fun waitFor(
        peer: InstanceName,
        bytes: Int,
        now: Moment,
    ): Duration {
        activeTransfers.values.removeIf { now >= it + settings.transferTimeout }
        val tooMany = peer in activeTransfers || activeTransfers.size >= settings.maximumConcurrentTransfers
        return when {
            tooMany -> settings.pullTimeout
            bytes <= settings.smallDeltaBytes -> Duration.ZERO
            else -> tokenBucket.timeUntilAvailable(now)
        }
    }

    /** Returns the delta from [base], or null when the base is not kept or the delta would be larger than half the document. */
    private fun deltaFrom(base: ConfigurationDigest): String? {
        val target = held ?: return null
        val from = previousSnapshots[base] ?: return null
        val text = deltasByBase[base] ?: ConfigurationDelta.between(from, target).encode().also { deltasByBase[base] = it }
        return text.takeIf { it.length <= target.canonicalText.length / 2 }
    }

    private fun bytesOf(text: String): Int = text.encodeToByteArray().size
}
