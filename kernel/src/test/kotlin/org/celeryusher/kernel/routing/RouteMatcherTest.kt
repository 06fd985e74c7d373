package org.celeryusher.kernel.routing

import org.celeryusher.kernel.configuration.RouteDeclaration
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals

class RouteMatcherTest {
    private val matcher =
        RouteMatcher(
            listOf(
                route("any", "*", "/", null),
                route("read", "GET", "/read", null),
                route("read-deep", "*", "/read/deep/", null),
                route("a-root", "*", "/x/", "a.example"),
                route("a-deep", "*", "/x/y/", "a.example"),
                route("a-post", "POST", "/x/y/", "a.example"),
                route("b-only", "*", "/only/", "b.example"),
            ),
        )

    @Test
    fun theLongestPrefixOfTheHostMatches() {
        val cases =
            listOf(
                Triple(null, "GET /read", "read"),
                Triple(null, "GET /read/1", "read"),
                Triple(null, "GET /reader", "any"),
                Triple(null, "POST /read/1", "any"),
                Triple(null, "GET /read/deep", "read"),
                Triple(null, "GET /read/deep/", "read-deep"),
                Triple(null, "GET /read/deep/1/2", "read-deep"),
                Triple(null, "GET /", "any"),
                Triple("a.example", "GET /x/y", "a-root"),
                Triple("a.example", "GET /x/y/z", "a-deep"),
                Triple("a.example", "POST /x/y/z", "a-post"),
                Triple("A.EXAMPLE", "GET /x/", "a-root"),
                Triple("a.example", "GET /read", "read"),
                Triple("b.example", "GET /x/y/z", "any"),
                Triple("b.example", "GET /only/1", "b-only"),
                Triple("unknown.example", "GET /only/1", "any"),
                Triple(null, "GET *", null),
            )
        for ((host, call, expected) in cases) {
            val (method, path) = call.split(' ')
            assertEquals(
                expected,
                matcher
                    .match(host, method, path)
                    ?.declaration
                    ?.name
                    ?.value,
                "$call on $host",
            )
        }
    }

    private fun route(
        name: String,
        method: String,
        prefix: String,
        host: String?,
    ): TableRoute = HeldRoute(RouteDeclaration(RouteName(name), method, prefix, ServiceName("desk"), RankName("urgent"), true, host = host))
}
