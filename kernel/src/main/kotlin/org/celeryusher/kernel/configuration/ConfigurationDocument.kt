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
    public val callers: CallerLimits = CallerLimits(),
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
    /** How many calls one backend server of the service runs at a time; null when each backend server states its own number. */
    public val slots: Int? = null,
    /** How many connections one backend server of the service takes. */
    public val connections: Int,
)

/** One route: the calls that it matches, and how they are treated. */
@Serializable
public data class RouteDeclaration(
    public val name: RouteName,
    /** The HTTP method that the route matches, or [ANY_METHOD]. */
    public val method: String,
    /**
     * Matches a path that equals the prefix or continues it after a `/`; the longest matching prefix wins.
     *
     * A prefix that ends with a `/` matches only paths that begin with it.
     */
    public val pathPrefix: String,
    /** The service that serves the route, or the first of those in [split]. */
    public val service: ServiceName,
    public val rank: RankName,
    public val idempotent: Boolean,
    /** Settings of this route that differ from the defaults of the fleet. */
    public val settings: SettingsChange = SettingsChange(),
    /** The host whose calls the route matches, without a port; null matches the hosts that no other route names. */
    public val host: String? = null,
    /** The services among which the calls of the route are divided; empty when [service] gets all of them. */
    public val split: List<ServiceShare> = emptyList(),
) {
    public companion object {
        /** The value of [method] that matches every HTTP method. */
        public const val ANY_METHOD: String = "*"
    }
}

/** The part of a route's calls that one service gets. */
@Serializable
public data class ServiceShare(
    public val service: ServiceName,
    /** The part of this service, in proportion to the sum of all weights of the route. */
    public val weight: Int,
)

/** Bounds on what callers may send, and on how long they may take or leave a connection unused. */
@Serializable
public data class CallerLimits(
    public val maximumHeaderBytes: Int = 16_384,
    public val maximumBodyBytes: Int = 1_048_576,
    public val headerTimeoutMilliseconds: Long = 10_000,
    public val idleTimeoutMilliseconds: Long = 60_000,
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
