package org.celeryusher.kernel.routing

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.configuration.RouteDeclaration
import org.celeryusher.kernel.configuration.ServiceDeclaration
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.RegionName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MembershipView
import kotlin.random.Random

/**
 * The routes of one configuration snapshot, resolved against one membership view. Immutable, so that it can be replaced atomically.
 *
 * A [ResolvedRoute] always has the declaration of its service and at least one endpoint, so a route to a service or an endpoint that is
 * unknown to this node cannot be represented. A route whose service has no endpoint is kept as a [HeldRoute], to which no call is sent.
 */
public class RoutingTable private constructor(
    public val digest: ConfigurationDigest,
    routes: List<TableRoute>,
    private val endpoints: ServiceEndpoints,
) {
    private val matcher = RouteMatcher(routes)

    /** The routes, and parts of split routes, that have at least one endpoint. */
    public val resolved: List<ResolvedRoute> = routes.flatMap(::partsOf).filterIsInstance<ResolvedRoute>()

    /** The routes, and parts of split routes, that have no endpoint. */
    public val held: List<HeldRoute> = routes.flatMap(::partsOf).filterIsInstance<HeldRoute>()

    /** Returns the route with the longest prefix that matches [method] and [path] on [host], or null if no route matches. */
    public fun match(
        method: String,
        path: String,
        host: String? = null,
    ): TableRoute? = matcher.match(host, method, path)

    private val allowedRegions: Map<RouteName, Set<RegionName>> =
        (resolved + held).map { it.declaration }.filter { it.allowedRegions.isNotEmpty() }.associate { it.name to it.allowedRegions }

    /**
     * Returns whether calls of [route] may be sent to [member], which need not be one of its endpoints. [route] may be from an earlier table;
     * the regions that this table allows it count.
     */
    public fun mayReach(
        route: RouteDeclaration,
        member: Member,
    ): Boolean = endpoints.mayReach(member, allowedRegions[route.name] ?: route.allowedRegions)

    /** Returns the routes whose calls may not reach servers in [dataCentre], because of its region. */
    public fun routesOutside(dataCentre: DataCentreName): Set<RouteName> =
        allowedRegions.filterValues { !endpoints.isInRegion(dataCentre, it) }.keys

    public companion object {
        /** Resolves the routes of [snapshot] against [view] for the node at [place]. [regions] gives the region of each data centre. */
        public fun compile(
            snapshot: ConfigurationSnapshot,
            view: MembershipView,
            place: FleetPlace,
            regions: Map<DataCentreName, RegionName> = emptyMap(),
        ): RoutingTable {
            val endpoints = ServiceEndpoints(view, regions)
            val resolver = RouteResolver(snapshot, endpoints, place)
            return RoutingTable(snapshot.digest, snapshot.document.routes.map(resolver::resolve), endpoints)
        }

        private fun partsOf(route: TableRoute): List<TableRoute> =
            when (route) {
                is SplitRoute -> route.parts.map(RoutePart::route)
                is HeldRoute, is ResolvedRoute -> listOf(route)
            }
    }
}

/** One route of a [RoutingTable]. */
public sealed interface TableRoute {
    public val declaration: RouteDeclaration
}

/** A route, or a part of a [SplitRoute], to one service. */
public sealed interface ServiceRoute : TableRoute

/** A route with its service and at least one endpoint. */
public data class ResolvedRoute(
    override val declaration: RouteDeclaration,
    public val service: ServiceDeclaration,
    public val settings: FleetSettings,
    public val rankPosition: Int,
    public val endpoints: NonEmptyList<Member>,
) : ServiceRoute

/** A route without endpoints for the given [cause]. */
public data class HeldRoute(
    override val declaration: RouteDeclaration,
    public val cause: HeldCause = HeldCause.NO_SERVER,
) : ServiceRoute

/** A route whose calls are divided among several services by weight. */
public data class SplitRoute(
    override val declaration: RouteDeclaration,
    public val parts: NonEmptyList<RoutePart>,
) : TableRoute {
    /** Draws the part for one call. Parts without endpoints or free capacity are drawn like the others, to preserve the weights. */
    public fun draw(random: Random): ServiceRoute {
        var remaining = random.nextLong(parts.sumOf { it.weight.toLong() })
        for (part in parts) {
            remaining -= part.weight
            if (remaining < 0) return part.route
        }
        error("the drawn number is not below the sum of the weights")
    }
}

/** One service of a [SplitRoute], with its weight relative to the others. */
public data class RoutePart(
    public val weight: Int,
    public val route: ServiceRoute,
)

private class RouteResolver(
    private val snapshot: ConfigurationSnapshot,
    private val endpoints: ServiceEndpoints,
    private val place: FleetPlace,
) {
    fun resolve(route: RouteDeclaration): TableRoute {
        val parts = route.split.map { RoutePart(it.weight, resolveService(route, it.service)) }.toNonEmptyListOrNull()
        return if (parts == null) resolveService(route, route.service) else SplitRoute(route, parts)
    }

    private fun resolveService(
        route: RouteDeclaration,
        name: ServiceName,
    ): ServiceRoute {
        val service = snapshot.service(name) ?: error("snapshot ${snapshot.digest} has a route to an unknown service: $name")
        val declaration = if (name == route.service) route else route.copy(service = name)
        val usable =
            when (val found = endpoints.find(name, route.allowedRegions)) {
                is FoundEndpoints.Some -> found.endpoints
                is FoundEndpoints.None -> return HeldRoute(declaration, found.cause)
            }
        val settings = snapshot.effectiveSettings(place.copy(route = route.name))
        return ResolvedRoute(declaration, service, settings, snapshot.rankPosition(route.rank), usable)
    }
}
