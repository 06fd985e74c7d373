package org.celeryusher.node.control

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.PlatformInstance
import org.celeryusher.kernel.membership.PlatformInstanceList
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/**
 * The platform's instance list as this node holds it, read by itself or got from another node, and what other nodes lack of it.
 *
 * Only the chosen readers read the list; messages between nodes carry its revision, and whoever holds an older one asks the sender for the
 * difference. A node keeps a few earlier lists to compute differences from. The caller synchronizes.
 */
internal class InstanceListHolder(
    private val pullInterval: Duration,
) {
    private val earlier = LinkedHashMap<Long, PlatformInstanceList>()
    private var nextPullAt = Moment.DISTANT_PAST

    /** The newest list, or null before the first. */
    var current: PlatformInstanceList? = null
        private set

    val revision: Long? get() = current?.revision

    /** Takes in [list]; returns whether it is newer than the one before. */
    fun take(list: PlatformInstanceList): Boolean {
        val held = current
        if (held != null && list.revision <= held.revision) return false
        held?.let(::keep)
        current = list
        return true
    }

    /** Returns whether to ask a peer that holds [announced] for it now; one question runs at a time, at most one an interval. */
    fun wants(
        announced: Long,
        now: Moment,
    ): Boolean {
        if (announced <= (revision ?: Long.MIN_VALUE) || now < nextPullAt) return false
        nextPullAt = now + pullInterval
        return true
    }

    /** Returns what a node that holds [heldRevision] lacks, or null when this node holds no list. */
    fun transferFor(heldRevision: Long?): InstanceListTransfer? {
        val list = current ?: return null
        if (heldRevision != null && heldRevision >= list.revision) return InstanceListTransfer(list.revision, list.revision)
        val base = heldRevision?.let(earlier::get) ?: return InstanceListTransfer(list.revision, null, list.instances)
        val before = base.instances.associateBy(PlatformInstance::instance)
        val listed = list.instances.mapTo(mutableSetOf(), PlatformInstance::instance)
        val changed = list.instances.filter { before[it.instance] != it }
        return InstanceListTransfer(list.revision, base.revision, changed, before.keys.filter { it !in listed })
    }

    /** Returns the list that [transfer] leads to, or null when it is not based on the list held here. */
    fun apply(transfer: InstanceListTransfer): PlatformInstanceList? {
        if (transfer.base == null) return PlatformInstanceList(transfer.revision, transfer.changed)
        val held = current?.takeIf { it.revision == transfer.base } ?: return null
        val instances = held.instances.associateByTo(LinkedHashMap<InstanceName, PlatformInstance>(), PlatformInstance::instance)
        transfer.removed.forEach(instances::remove)
        transfer.changed.associateByTo(instances, PlatformInstance::instance)
        return PlatformInstanceList(transfer.revision, instances.values.toList())
    }

    private fun keep(list: PlatformInstanceList) {
        earlier[list.revision] = list
        if (earlier.size > EARLIER_LISTS) earlier.remove(earlier.keys.first())
    }

    private companion object {
        const val EARLIER_LISTS = 4
    }
}
