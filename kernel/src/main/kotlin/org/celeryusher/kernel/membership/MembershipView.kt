package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName

/** An immutable snapshot of the fleet as one node sees it. */
public class MembershipView(
    members: Collection<Member>,
    /** The data centres to whose servers nothing may be sent. */
    public val evacuated: Set<DataCentreName> = emptySet(),
) {
    private val membersByInstance: Map<InstanceName, Member> = members.associateBy(Member::instance)
    private val membersByService: Map<ServiceName, List<Member>> = members.groupBy(Member::service)

    /** All known members, in any state. */
    public val members: Collection<Member> get() = membersByInstance.values

    /** Returns the member on [instance], or null if it is not known. */
    public operator fun get(instance: InstanceName): Member? = membersByInstance[instance]

    /** Returns the members that provide [service], in any state. */
    public fun providersOf(service: ServiceName): List<Member> = membersByService[service].orEmpty()

    /** Returns whether the data centre of [member] is evacuated. */
    public fun isEvacuated(member: Member): Boolean = evacuated.isNotEmpty() && member.dataCentre in evacuated

    /** Returns this view with the evacuated data centres [changed]. */
    public fun withEvacuated(changed: Set<DataCentreName>): MembershipView =
        if (changed == evacuated) this else MembershipView(members, changed)

    override fun toString(): String =
        membersByInstance.values.joinToString(prefix = "MembershipView(", postfix = ")") {
            "${it.instance}=${it.state}"
        }

    public companion object {
        /** A view without members. */
        public val EMPTY: MembershipView = MembershipView(emptyList())
    }
}
