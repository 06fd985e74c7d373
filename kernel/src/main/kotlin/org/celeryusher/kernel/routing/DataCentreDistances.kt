package org.celeryusher.kernel.routing

import org.celeryusher.kernel.identity.DataCentreName
import kotlin.time.Duration

/** The one-way network latency from the [own] data centre to others: [oneWayTo] for individual data centres, [oneWay] for all others. */
public data class DataCentreDistances(
    public val own: DataCentreName,
    public val oneWay: Duration,
    public val oneWayTo: Map<DataCentreName, Duration> = emptyMap(),
    /** The cost of a kilobyte to or from another data centre, expressed as waiting time. */
    public val perKilobyte: Duration = Duration.ZERO,
) {
    /** Returns the cost of transferring [bytes], the size of a call and its answer, to another data centre, as waiting time. */
    public fun transferCost(bytes: Double): Duration = perKilobyte * (bytes / BYTES_PER_KILOBYTE)

    /** Returns the one-way network latency to [dataCentre], zero for the own data centre. */
    public fun to(dataCentre: DataCentreName): Duration = if (dataCentre == own) Duration.ZERO else oneWayTo[dataCentre] ?: oneWay

    private companion object {
        private const val BYTES_PER_KILOBYTE = 1_000.0
    }
}
