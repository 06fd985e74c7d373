package org.celeryusher.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName

/** One entry of the platform's instance list. */
@Serializable
public data class PlatformInstance(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val controlAddress: Address,
    public val frameAddress: Address,
    public val serverAddress: Address,
    public val state: PlatformInstanceState = PlatformInstanceState.LIVE,
)

/** State of an instance in the platform's instance list. */
@Serializable
public enum class PlatformInstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** Response body of `GET /instances`. [revision] increases with each change of the list. */
@Serializable
public data class PlatformInstanceList(
    public val revision: Long,
    public val instances: List<PlatformInstance>,
)
