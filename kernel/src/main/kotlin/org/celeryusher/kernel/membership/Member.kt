package org.celeryusher.kernel.membership

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName

/** One instance of the fleet as another node knows it: a backend server and the node beside it. */
@Serializable
public data class Member(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    /** Where the node takes control messages from other nodes (HTTP with JSON). */
    public val controlAddress: Address,
    /** Where the node takes calls from other nodes (frames). */
    public val frameAddress: Address,
    /** Where the backend server itself listens (HTTP). */
    public val serverAddress: Address,
    /** Which life of the node this is; null when only the platform's list has named the instance. */
    public val incarnation: Incarnation? = null,
    public val state: MemberState = MemberState.LIVE,
    /** How many calls the backend server runs at a time, when it states that itself. */
    public val slots: Int? = null,
)

/** What a node believes about a member. */
@Serializable
public enum class MemberState {
    /** Answers, or is listed by the platform and not contradicted. */
    LIVE,

    /** Did not answer probes; still gets work only when too few others are left. */
    SUSPECTED,

    /** Announced that it leaves, or is listed as leaving: gets no new work, finishes what it has. */
    LEAVING,

    /** Confirmed gone. */
    DEAD,
}
