package org.celeryusher.kernel.routing

import org.celeryusher.kernel.identity.DataCentreName
import kotlin.time.Duration

/** The one-way latency between data centres, as a node's settings give it: one figure, and others for single pairs. */
public data class DataCentreDistances(
    public val own: DataCentreName,
    public val oneWay: Duration,
    public val oneWayTo: Map<DataCentreName, Duration> = emptyMap(),
) {
    /** Returns the one-way latency to [dataCentre], zero to the own one. */
    public fun to(dataCentre: DataCentreName): Duration = if (dataCentre == own) Duration.ZERO else oneWayTo[dataCentre] ?: oneWay
}
