package org.celeryusher.node.control

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.PlatformInstance
import org.celeryusher.kernel.membership.PlatformInstanceList
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/**
 * Holds the platform's instance list, which this node read itself or received from another node, and computes deltas for other nodes.
 *
 * Only the elected readers read the list from the platform. Messages between nodes contain its revision, and a node with an older revision
 * requests the delta from the sender. A node keeps a few earlier lists as bases of deltas.
 *
 * Not thread-safe: the caller synchronizes access.
 */
internal class InstanceListHolder(
    private val pullInterval: Duration,
) {
    private val earlier = LinkedHashMap<Long, PlatformInstanceList>()
    private var nextPullAt = Moment.DISTANT_PAST

    /** The newest list, or null before the first one is applied. */
    var current: PlatformInstanceList? = null
        private set

    val revision: Long? get() = current?.revision

    /** Replaces the current list by [list] if that is newer; returns whether it is. */
    fun update(list: PlatformInstanceList): Boolean {
        val held = current
        if (held != null && list.revision <= held.revision) return false
        held?.let(::keep)
        current = list
        return true
    }

    /** Returns whether to pull revision [announced] from a peer now; at most one pull starts per interval. */
    fun shouldPull(
        announced: Long,
        now: Moment,
    ): Boolean {
        if (announced <= (revision ?: Long.MIN_VALUE) || now < nextPullAt) return false
        nextPullAt = now + pullInterval
        return true
    }

    /** Returns the delta from [heldRevision], or the full list when that revision is not kept, or null when this node holds no list. */
    fun transferFor(heldRevision: Long?): InstanceListTransfer? {
        val list = current ?: return null
        if (heldRevision != null && heldRevision >= list.revision) return InstanceListTransfer(list.revision, list.revision)
        val base = heldRevision?.let(earlier::get) ?: return InstanceListTransfer(list.revision, null, list.instances)
        val before = base.instances.associateBy(PlatformInstance::instance)
        val listed = list.instances.mapTo(mutableSetOf(), PlatformInstance::instance)
        val changed = list.instances.filter { before[it.instance] != it }
        return InstanceListTransfer(list.revision, base.revision, changed, before.keys.filter { it !in listed })
    }

    /** Returns the list that results from [transfer], or null when its base is not the list held here. */
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
        if (earlier.size > MAXIMUM_EARLIER_LISTS) earlier.remove(earlier.keys.first())
    }

    private companion object {
        const val MAXIMUM_EARLIER_LISTS = 4
    }
}
