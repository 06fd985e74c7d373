package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName

/** An immutable picture of the fleet that one node holds at one time. */
public class MembershipView(
    members: Collection<Member>,
) {
    private val membersByInstance: Map<InstanceName, Member> = members.associateBy(Member::instance)
    private val membersByService: Map<ServiceName, List<Member>> = members.groupBy(Member::service)

    /** All members that are known, whatever their state. */
    public val members: Collection<Member> get() = membersByInstance.values

    /** Returns the member on [instance], or null when it is not known. */
    public operator fun get(instance: InstanceName): Member? = membersByInstance[instance]

    /** Returns the members that provide [service], whatever their state. */
    public fun providersOf(service: ServiceName): List<Member> = membersByService[service].orEmpty()

    override fun toString(): String =
        membersByInstance.values.joinToString(prefix = "MembershipView(", postfix = ")") {
            "${it.instance}=${it.state}"
        }

    public companion object {
        /** The view of a node that knows nobody. */
        public val EMPTY: MembershipView = MembershipView(emptyList())
    }
}
