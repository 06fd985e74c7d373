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

    fun add(instance: InstanceName) {
        transmissions.remove(instance)
        transmissions[instance] = 0
    }

    fun remove(instance: InstanceName) {
        transmissions.remove(instance)
    }

    /** Returns up to [MembershipSettings.newsPerMessage] members to tell of, and counts one transmission of each. */
    fun take(fleetSize: Int): List<InstanceName> {
        val limit = transmissionLimit(fleetSize)
        val chosen =
            transmissions.entries
                .sortedBy { it.value }
                .take(settings.newsPerMessage)
                .map { it.key }
        for (instance in chosen) {
            val count = transmissions.getValue(instance) + 1
            if (count >= limit) transmissions.remove(instance) else transmissions[instance] = count
        }
        return chosen
    }

    private fun transmissionLimit(fleetSize: Int): Int = settings.retransmitFactor * ceil(log10(fleetSize + 1.0)).toInt()
}
