package org.celeryusher.kernel.distribution

import net.openhft.hashing.LongHashFunction
import org.celeryusher.kernel.identity.InstanceName

/**
 * Rendezvous hashing: an order of instances that every node computes alike from their names, without exchange of messages.
 *
 * An instance that comes or goes moves no other pair of instances against each other.
 */
public object RendezvousOrder {
    /** Returns [instances] in the order that belongs to [key]. */
    public fun sorted(
        key: String,
        instances: Collection<InstanceName>,
    ): List<InstanceName> = instances.sortedWith(compareBy({ weight(key, it) }, { it }))

    /** Returns how many of [instances] stand before [own] in the order that belongs to [key]. */
    public fun position(
        key: String,
        own: InstanceName,
        instances: Iterable<InstanceName>,
    ): Int {
        val ownWeight = weight(key, own)
        return instances.count {
            it != own &&
                compareValuesBy(weight(key, it) to it, ownWeight to own, { pair -> pair.first }, { pair -> pair.second }) < 0
        }
    }

    private fun weight(
        key: String,
        instance: InstanceName,
    ): Long = LongHashFunction.xx3().hashChars("$key/$instance")
}
