package org.celeryusher.kernel.configuration

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName

/** The whole document that operators publish: one set of defaults for the fleet and a short list of exceptions. */
@Serializable
public data class ConfigurationDocument(
    public val version: Long,
    public val defaults: FleetSettings,
    public val ranks: List<RankDeclaration>,
    public val services: List<ServiceDeclaration>,
    public val routes: List<RouteDeclaration>,
    public val exceptions: List<FleetException> = emptyList(),
)

/** One rank. Ranks are listed with the most urgent first. */
@Serializable
public data class RankDeclaration(
    public val name: RankName,
    /** The share of a backend server's slots that this rank keeps during a flood of any other rank, 0 to 1; all ranks together at most 1. */
    public val guaranteedShare: Double,
)

/** One service and the size of its backend servers. */
@Serializable
public data class ServiceDeclaration(
    public val name: ServiceName,
    /** How many calls one backend server of the service runs at a time. */
    public val slots: Int,
    /** How many connections one backend server of the service takes. */
    public val connections: Int,
)

/** One route: the calls that it matches, and how they are treated. */
@Serializable
public data class RouteDeclaration(
    public val name: RouteName,
    public val method: String,
    /** Matches a path that equals the prefix or continues it after a `/`; the longest matching prefix wins. */
    public val pathPrefix: String,
    public val service: ServiceName,
    public val rank: RankName,
    public val idempotent: Boolean,
    /** Settings of this route that differ from the defaults of the fleet. */
    public val settings: SettingsChange = SettingsChange(),
)

/** A departure from the defaults for a part of the fleet, with the operators' written reason. */
@Serializable
public data class FleetException(
    public val name: String,
    public val scope: ExceptionScope,
    public val change: SettingsChange,
    public val reason: String,
)

/** The part of the fleet to which an exception applies: all fields that are present must match, and at least one is present. */
@Serializable
public data class ExceptionScope(
    public val dataCentre: DataCentreName? = null,
    public val service: ServiceName? = null,
    public val instance: InstanceName? = null,
    public val route: RouteName? = null,
)
