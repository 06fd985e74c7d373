package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import kotlin.math.ceil
import kotlin.math.log10

/**
 * The members whose latest change is still to be spread, the least often sent first (SWIM's infection-style dissemination).
 *
 * A change leaves the queue after a number of transmissions that grows with the logarithm of the fleet's size; a newer change of the same
 * member takes its place.
 */
internal class NewsQueue(
    private val settings: MembershipSettings,
) {
    private val transmissions = LinkedHashMap<InstanceName, Int>()

    val isEmpty: Boolean get() = transmissions.isEmpty()

    /** Adds the change of the member on [instance], as the first to be sent when it [isUrgent]. */
    fun add(
        instance: InstanceName,
        isUrgent: Boolean = false,
    ) {
        transmissions.remove(instance)
        transmissions[instance] = if (isUrgent) URGENT_START else 0
    }

    fun remove(instance: InstanceName) {
        transmissions.remove(instance)
    }

    /**
     * Returns news of the members in the queue that fits into [MembershipSettings.newsBytes], and counts one transmission of each.
     *
     * Members of which [newsOf] has nothing to tell leave the queue.
     */
    fun take(
        fleetSize: Int,
        newsOf: (InstanceName) -> MemberNews?,
    ): List<MemberNews> {
        if (isEmpty) return emptyList()
        val limit = transmissionLimit(fleetSize)
        val chosen = mutableListOf<MemberNews>()
        var room = settings.newsBytes
        for (instance in transmissions.keys.sortedBy(transmissions::getValue)) {
            val news = newsOf(instance)
            if (news == null) transmissions.remove(instance) else room -= news.estimatedBytes
            if (room < 0) break
            if (news != null) chosen += news
        }
        chosen.forEach { countTransmission(it.instance, limit) }
        return chosen
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
        /** Below 0, so that an urgent change is sent a few times before all others. */
        const val URGENT_START = -4
    }
}
