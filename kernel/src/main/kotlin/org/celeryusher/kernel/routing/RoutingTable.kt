package org.celeryusher.kernel.routing

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.configuration.RouteDeclaration
import org.celeryusher.kernel.configuration.ServiceDeclaration
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView

/**
 * The routes of one snapshot, resolved against one membership view: immutable, and swapped in one assignment.
 *
 * A [ResolvedRoute] always has its service's declaration and at least one endpoint, so a route that points at a service or an endpoint
 * that this node lacks cannot be expressed. A route whose service has no endpoint is kept as a [HeldRoute], which is never called.
 */
public class RoutingTable private constructor(
    public val digest: ConfigurationDigest,
    public val resolved: List<ResolvedRoute>,
    public val held: List<HeldRoute>,
) {
    private val byMethod =
        (resolved.map { it to it.declaration } + held.map { it to it.declaration })
            .groupBy({ it.second.method }, { it.first })
            .mapValues { (_, routes) -> routes.sortedByDescending { it.declaration.pathPrefix.length } }

    /** Returns the route with the longest prefix that matches [method] and [path], or null when there is none. */
    public fun match(
        method: String,
        path: String,
    ): TableRoute? = byMethod[method]?.firstOrNull { matchesPrefix(path, it.declaration.pathPrefix) }

    public companion object {
        /** Resolves the routes of [snapshot] against [view] for the node at [place]. */
        public fun compile(
            snapshot: ConfigurationSnapshot,
            view: MembershipView,
            place: FleetPlace,
        ): RoutingTable {
            val resolved = mutableListOf<ResolvedRoute>()
            val held = mutableListOf<HeldRoute>()
            val endpointsByService = snapshot.document.services.associate { it.name to endpointsOf(view.providersOf(it.name)) }
            for (route in snapshot.document.routes) {
                val service =
                    snapshot.service(route.service)
                        ?: error("snapshot ${snapshot.digest} has a route to the unknown service ${route.service}")
                val endpoints = endpointsByService[route.service]
                if (endpoints == null) {
                    held += HeldRoute(route)
                } else {
                    val settings = snapshot.effectiveSettings(place.copy(route = route.name))
                    resolved += ResolvedRoute(route, service, settings, snapshot.rankPosition(route.rank), endpoints)
                }
            }
            return RoutingTable(snapshot.digest, resolved, held)
        }

        /** Returns the live providers, and after them the suspected ones as a floor when fewer than half of the two together are live. */
        private fun endpointsOf(providers: List<Member>): NonEmptyList<Member>? {
            val live = providers.filter { it.state == MemberState.LIVE }
            val suspected = providers.filter { it.state == MemberState.SUSPECTED }
            val usable = if (live.size >= suspected.size) live else live + suspected
            return usable.toNonEmptyListOrNull()
        }

        private fun matchesPrefix(
            path: String,
            prefix: String,
        ): Boolean = path.startsWith(prefix) && (path.length == prefix.length || prefix.endsWith('/') || path[prefix.length] == '/')
    }
}

/** One route of a [RoutingTable]. */
public sealed interface TableRoute {
    public val declaration: RouteDeclaration
}

/** A route with its service and at least one endpoint. */
public data class ResolvedRoute(
    override val declaration: RouteDeclaration,
    public val service: ServiceDeclaration,
    public val settings: FleetSettings,
    public val rankPosition: Int,
    public val endpoints: NonEmptyList<Member>,
) : TableRoute

/** A route that is held back, because no live backend server provides its service. */
public data class HeldRoute(
    override val declaration: RouteDeclaration,
) : TableRoute
