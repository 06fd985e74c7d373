package org.celeryusher.kernel.routing

import org.celeryusher.kernel.configuration.RouteDeclaration

/**
 * Finds the route with the longest matching prefix. The cost of a lookup depends on the length of the path, not on the number of routes.
 *
 * Routes of the call's host take precedence over those without a host, a longer prefix over a shorter one, and a specific method over
 * any method.
 */
internal class RouteMatcher(
    routes: List<TableRoute>,
) {
    private data class Key(
        val method: String,
        val prefix: String,
    )

    private val byHost: Map<String?, Map<Key, TableRoute>> =
        routes.groupBy { it.declaration.host }.mapValues { (_, ofHost) ->
            ofHost.associateBy { Key(it.declaration.method, it.declaration.pathPrefix) }
        }

    fun match(
        host: String?,
        method: String,
        path: String,
    ): TableRoute? = host?.let { longestMatch(byHost[it.lowercase()], method, path) } ?: longestMatch(byHost[null], method, path)

    private fun longestMatch(
        routes: Map<Key, TableRoute>?,
        method: String,
        path: String,
    ): TableRoute? {
        if (routes == null || !path.startsWith('/')) return null
        var end = path.length
        while (end > 0) {
            val prefix = path.substring(0, end)
            routes[Key(method, prefix)]?.let { return it }
            routes[Key(RouteDeclaration.ANY_METHOD, prefix)]?.let { return it }
            end = nextBoundary(path, end)
        }
        return null
    }

    /** Returns the end of the next shorter prefix that may match, which is just after or just before a slash. */
    private fun nextBoundary(
        path: String,
        end: Int,
    ): Int = if (path[end - 1] == '/') end - 1 else path.lastIndexOf('/', end - 1) + 1
}
