package org.celeryusher.standin.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class DeploymentShapeTest {
    @Test
    fun everyCallMatchesARouteOfTheDocument() {
        for (shape in listOf(DeploymentShape.ANTWERP, DeploymentShape.SIERRA)) {
            for (call in shape.calls) {
                val route = shape.document.routes.find { it.method == call.method && it.pathPrefix == call.path }
                assertNotNull(route, "${shape.name}: ${call.path}")
                assertEquals(call.rank to call.idempotent, route.rank to route.idempotent, "${shape.name}: ${call.path}")
                assertEquals(
                    call.deadline.inWholeMilliseconds,
                    route.settings.applyTo(shape.document.defaults).deadlineMilliseconds,
                    "${shape.name}: ${call.path}",
                )
            }
            assertEquals(shape, DeploymentShape.named(shape.name))
        }
        assertNull(DeploymentShape.named("gent"))
    }

    @Test
    fun scalesToTheRequestedInstanceCount() {
        val cases = listOf(13 to listOf(9, 4), 26 to listOf(18, 8), 25 to listOf(18, 7), 100 to listOf(70, 30), 2 to listOf(1, 1))
        for ((count, servers) in cases) {
            val scaled = DeploymentShape.ANTWERP.scaledTo(count)
            assertEquals(servers, scaled.services.map { it.servers }, "scaled to $count")
            assertEquals(count, scaled.instances)
        }
    }
}
