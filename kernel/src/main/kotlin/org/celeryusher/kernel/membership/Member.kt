package org.celeryusher.kernel.membership

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName

/** One instance of the fleet as other nodes know it: a backend server and the node beside it. */
@Serializable
public data class Member(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    /** The address at which the node accepts control messages from other nodes (HTTP with JSON). */
    public val controlAddress: Address,
    /** The address at which the node accepts calls from other nodes (frames). */
    public val frameAddress: Address,
    /** The address at which the backend server listens (HTTP). */
    public val serverAddress: Address,
    /**
     * The incarnation of the node or, where the platform lists backend servers apart from instances, of the backend server. Null while
     * neither is known.
     */
    public val incarnation: Incarnation? = null,
    public val state: MemberState = MemberState.LIVE,
    /** The maximum number of calls that the backend server runs concurrently; null if it does not report it. */
    public val slots: Int? = null,
)

/** The state of a member in the view of a node. */
@Serializable
public enum class MemberState {
    /** Answers probes, or is listed by the platform with no evidence against it. */
    LIVE,

    /** Did not answer probes; gets work only when too few live members are left. */
    SUSPECTED,

    /** Announced that it leaves, or is listed as leaving; gets no new work and finishes its running calls. */
    LEAVING,

    /** Confirmed as failed or stopped. */
    DEAD,
}
