package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import kotlin.math.ceil
import kotlin.math.log10

/**
 * The members whose latest update is still to be disseminated, the least often sent first (SWIM's infection-style dissemination).
 *
 * An update leaves the queue after a number of transmissions that grows with the logarithm of the fleet's size. A newer update of the
 * same member replaces it.
 */
internal class UpdateQueue(
    private val settings: MembershipSettings,
) {
    private val transmissions = LinkedHashMap<InstanceName, Int>()

    val isEmpty: Boolean get() = transmissions.isEmpty()

    /** Queues the update of the member on [instance]; an update that [isUrgent] is sent before all others. */
    fun add(
        instance: InstanceName,
        isUrgent: Boolean = false,
    ) {
        transmissions.remove(instance)
        transmissions[instance] = if (isUrgent) URGENT_INITIAL_COUNT else 0
    }

    fun remove(instance: InstanceName) {
        transmissions.remove(instance)
    }

    /**
     * Returns the next updates that fit into [MembershipSettings.maximumUpdateBytes], and counts one transmission of each.
     *
     * Members for which [updateOf] returns null leave the queue.
     */
    fun nextBatch(
        fleetSize: Int,
        updateOf: (InstanceName) -> MemberUpdate?,
    ): List<MemberUpdate> {
        if (isEmpty) return emptyList()
        val limit = transmissionLimit(fleetSize)
        val batch = mutableListOf<MemberUpdate>()
        var remainingBytes = settings.maximumUpdateBytes
        for (instance in transmissions.keys.sortedBy(transmissions::getValue)) {
            val update = updateOf(instance)
            if (update == null) transmissions.remove(instance) else remainingBytes -= update.estimatedBytes
            if (remainingBytes < 0) break
            if (update != null) batch += update
        }
        batch.forEach { countTransmission(it.instance, limit) }
        return batch
    }

    private fun countTransmission(
        instance: InstanceName,
        limit: Int,
    ) {
        val count = transmissions.getValue(instance) + 1
        if (count >= limit) transmissions.remove(instance) else transmissions[instance] = count
    }

    private fun transmissionLimit(fleetSize: Int): Int = settings.retransmitFactor * ceil(log10(fleetSize + 1.0)).toInt()

    private companion object {
        /** The initial transmission count of an urgent update: negative, so that it is sent a few times before all others. */
        const val URGENT_INITIAL_COUNT = -4
    }
}
