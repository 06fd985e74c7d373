package org.celeryusher.kernel.admission

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName

/** The calls that runs on [route] make to [called], and how they fared of late, as counted at the node beside the server that makes them. */
@Serializable
public data class RunLoad(
    @SerialName("n") public val route: RouteName,
    @SerialName("s") public val called: ServiceName,
    /** The expected number of calls in a hundred runs. */
    @SerialName("c") public val callsPerHundredRuns: Int,
    /** The number of recent calls, 0 when there were none. */
    @SerialName("w") public val recentCalls: Int = 0,
    /** The number of recent calls in a hundred that were served in time. */
    @SerialName("p") public val servedPercent: Int = 100,
) {
    /** Whether the values are in their ranges, so that a report of another node may be used. */
    public val isPlausible: Boolean
        get() = callsPerHundredRuns in 0..MAXIMUM_CALLS && recentCalls in 0..MAXIMUM_CALLS && servedPercent in 0..100

    private companion object {
        const val MAXIMUM_CALLS = 1_000_000
    }
}
