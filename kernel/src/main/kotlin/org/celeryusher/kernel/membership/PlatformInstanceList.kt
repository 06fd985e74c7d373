package org.celeryusher.kernel.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName

/** The platform's list of instances, the answer to `GET /instances`. It lags behind the real state. */
@Serializable
public data class PlatformInstanceList(
    public val revision: Long,
    public val instances: List<PlatformInstance>,
)

/** One instance as the platform lists it; the platform does not know incarnations. */
@Serializable
public data class PlatformInstance(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val controlAddress: Address,
    public val frameAddress: Address,
    public val serverAddress: Address,
    public val state: PlatformInstanceState,
) {
    /** Whether a connection to each address of the instance can be tried. */
    public val isUsable: Boolean get() = controlAddress.isUsable && frameAddress.isUsable && serverAddress.isUsable
}

/** The state of an instance in the platform's list. */
@Serializable
public enum class PlatformInstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

internal val PlatformInstance.metadata: MemberMetadata
    get() = MemberMetadata(service, dataCentre, controlAddress, frameAddress, serverAddress)
