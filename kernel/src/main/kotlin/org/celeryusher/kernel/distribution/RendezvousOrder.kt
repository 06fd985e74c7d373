package org.celeryusher.kernel.distribution

import net.openhft.hashing.LongHashFunction
import org.celeryusher.kernel.identity.InstanceName

/**
 * Rendezvous hashing: an order of instances that every node computes identically from their names, without coordination.
 *
 * Adding or removing an instance does not change the relative order of the others.
 */
public object RendezvousOrder {
    /** Returns [instances] in the rendezvous order of [key]. */
    public fun sorted(
        key: String,
        instances: Collection<InstanceName>,
    ): List<InstanceName> =
        instances
            .map { weight(key, it) to it }
            .sortedWith(compareBy({ it.first }, { it.second }))
            .map { it.second }

    /** Returns how many of [instances] precede [own] in the rendezvous order of [key]. */
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
