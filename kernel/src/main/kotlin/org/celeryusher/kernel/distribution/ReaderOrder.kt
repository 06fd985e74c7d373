package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView

/**
 * The order in which the live instances of a view read the platform: those that decline to be asked come after those that do
 * not. Not thread-safe.
 *
 * All nodes that know the same instances to decline compute it identically. Only the first [consideredCount] by rendezvous hashing are
 * considered, which bounds what each node has to learn; if all of these decline, the order is that by rendezvous hashing.
 */
internal class ReaderOrder(
    private val candidateCount: Int,
    private val consideredCount: Int,
) {
    private var view: MembershipView? = null
    private var own: InstanceName? = null
    private var declining: Set<InstanceName> = emptySet()
    private var live: Map<InstanceName, Member> = emptyMap()

    private var sorted: List<InstanceName> = emptyList()

    /** The first instances by rendezvous hashing, in that order. */
    var considered: Set<InstanceName> = emptySet()
        private set

    /** The first members in this order. */
    var candidates: List<Member> = emptyList()
        private set

    /** The number of live instances that precede the own one; that of all live instances if it is not among them. */
    var position: Int = 0
        private set

    /** The number of live instances. */
    val size: Int get() = live.size

    /** Returns the live member named [instance], or null. */
    fun memberOf(instance: InstanceName): Member? = live[instance]

    /** Returns whether [instance] is known to decline. */
    fun declines(instance: InstanceName): Boolean = instance in declining

    /** Returns whether this order is that of [view] as the node beside [own] sees it. */
    fun isOf(
        view: MembershipView,
        own: InstanceName?,
    ): Boolean = this.view === view && this.own == own

    /** Computes the order of [view] with the instances in [declining] after the others, unless all is the same as before. */
    fun update(
        view: MembershipView,
        own: InstanceName?,
        declining: Set<InstanceName> = emptySet(),
    ) {
        if (isOf(view, own) && this.declining === declining) return
        if (this.view !== view) {
            live = view.members.filter { it.state == MemberState.LIVE }.associateBy { it.instance }
            sorted = RendezvousOrder.sorted(KEY, live.keys)
            considered = sorted.take(consideredCount).toSet()
        }
        this.view = view
        this.own = own
        this.declining = declining
        val (last, first) = considered.partition(declining::contains)
        val order = if (first.isEmpty()) sorted else first + last + sorted.drop(considered.size)
        candidates = order.take(candidateCount).map(live::getValue)
        position = order.indexOf(own).takeIf { it >= 0 } ?: order.size
    }

    private companion object {
        const val KEY = "readers of the platform"
    }
}
