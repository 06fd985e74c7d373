package org.celeryusher.kernel.configuration

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RegionName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName

/** The configuration document that operators publish, with one set of defaults for the fleet and a short list of exceptions. */
@Serializable
public data class ConfigurationDocument(
    public val version: Long,
    public val defaults: FleetSettings,
    public val ranks: List<RankDeclaration>,
    public val services: List<ServiceDeclaration>,
    public val routes: List<RouteDeclaration>,
    public val exceptions: List<FleetException> = emptyList(),
    public val callers: CallerLimits = CallerLimits(),
)

/** A rank (priority class) of calls. The document lists the most urgent rank first. */
@Serializable
public data class RankDeclaration(
    public val name: RankName,
    /** The share of a server's slots, 0 to 1, that this rank keeps in an overload by other ranks. The sum of all shares is at most 1. */
    public val guaranteedShare: Double,
)

/** A service and the capacity of its backend servers. */
@Serializable
public data class ServiceDeclaration(
    public val name: ServiceName,
    /** The number of calls that one backend server of the service runs concurrently, or null when each backend server states its own. */
    public val slots: Int? = null,
    /** The number of connections that one backend server of the service accepts. */
    public val connections: Int,
    /** How long a backend server of the service stays cold after its start, or null when the service does not state it. */
    public val coldStartMilliseconds: Long? = null,
    /** The calls a second that a cold backend server of the service takes, or null without a limit. */
    public val coldCallsPerSecond: Double? = null,
    /** The path at which a backend server of the service states its health, or null when the service does not state it. */
    public val healthPath: String? = null,
)

/** A route: which calls it matches and how they are handled. */
@Serializable
public data class RouteDeclaration(
    public val name: RouteName,
    /** The HTTP method that the route matches, or [ANY_METHOD]. */
    public val method: String,
    /**
     * The prefix that matches a path equal to it or continuing it after a `/`; the longest matching prefix wins.
     *
     * A prefix that ends with a `/` matches only paths that start with it.
     */
    public val pathPrefix: String,
    /** The service that handles the route, or the first service of [split]. */
    public val service: ServiceName,
    public val rank: RankName,
    public val idempotent: Boolean,
    /** Settings of this route that override the defaults of the fleet. */
    public val settings: SettingsChange = SettingsChange(),
    /** The host that the route matches, without a port. Null matches every host that no other route names. */
    public val host: String? = null,
    /** The services between which the calls of the route are split by weight; empty when [service] gets all calls. */
    public val split: List<ServiceShare> = emptyList(),
    /** The regions whose backend servers and nodes may get the calls of the route; empty when all may. */
    public val allowedRegions: Set<RegionName> = emptySet(),
) {
    public companion object {
        /** The value of [method] that matches every HTTP method. */
        public const val ANY_METHOD: String = "*"
    }
}

/** The share of a route's calls that one service receives. */
@Serializable
public data class ServiceShare(
    public val service: ServiceName,
    /** The weight of this service, relative to the sum of all weights of the route. */
    public val weight: Int,
)

/** Limits on the size and duration of callers' requests and on the idle time of their connections. */
@Serializable
public data class CallerLimits(
    public val maximumHeaderBytes: Int = 16_384,
    public val maximumBodyBytes: Int = 1_048_576,
    public val headerTimeoutMilliseconds: Long = 10_000,
    public val idleTimeoutMilliseconds: Long = 60_000,
)

/** An exception to the defaults for a part of the fleet, with the reason that the operators give. */
@Serializable
public data class FleetException(
    public val name: String,
    public val scope: ExceptionScope,
    public val change: SettingsChange,
    public val reason: String,
)

/** The part of the fleet to which an exception applies. All fields that are set must match, and at least one must be set. */
@Serializable
public data class ExceptionScope(
    public val dataCentre: DataCentreName? = null,
    public val service: ServiceName? = null,
    public val instance: InstanceName? = null,
    public val route: RouteName? = null,
)
