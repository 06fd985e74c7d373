package org.celeryusher.node.admin

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.ExplainedSetting
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RegionName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName

/** The settings in force at one place of the fleet under one configuration version, each with its origin. */
@Serializable
public data class Explanation(
    public val version: Long,
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val route: RouteName? = null,
    public val settings: List<ExplainedSetting>,
    /** The regions whose servers may get the calls of the route; empty when all may, or when no route is given. */
    public val allowedRegions: Set<RegionName> = emptySet(),
) {
    public companion object {
        /** Returns the settings of [snapshot] that apply at [place], with their origins. */
        public fun of(
            snapshot: ConfigurationSnapshot,
            place: FleetPlace,
        ): Explanation =
            Explanation(
                version = snapshot.digest.version,
                instance = place.instance,
                service = place.service,
                dataCentre = place.dataCentre,
                route = place.route,
                settings = snapshot.explain(place),
                allowedRegions =
                    place.route
                        ?.let { snapshot.route(it) }
                        ?.allowedRegions
                        .orEmpty(),
            )
    }
}
