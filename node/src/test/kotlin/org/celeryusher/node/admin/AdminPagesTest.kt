package org.celeryusher.node.admin

import kotlinx.serialization.json.Json
import org.celeryusher.node.command.ExitStatus
import org.celeryusher.node.command.projectText
import org.celeryusher.node.command.runCommandLine
import org.celeryusher.node.runtime.SingleNodeFleet
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class AdminPagesTest {
    private data class PageCase(
        val path: String,
        val status: Int,
        val error: String?,
        val fragment: String,
    )

    private val document = projectText("examples/antwerp.json")

    @Test
    fun eachPageReturnsItsContentOrItsErrorKind() {
        SingleNodeFleet(document).use { fleet ->
            fleet.awaitRoutes()
            val cases =
                listOf(
                    PageCase("/ready", 200, null, "ready"),
                    PageCase("/status", 200, null, "\"instance\":\"records-hub-1\""),
                    PageCase("/explain", 200, null, "records-hub-long-drain"),
                    PageCase("/explain?route=archives", 200, null, "antwerp-4-slow-line"),
                    PageCase("/explain?route=arch", 404, "NO_ROUTE", "no route is named \\\"arch\\\""),
                    PageCase("/explain?route=%ff%fe", 404, "NO_ROUTE", "no route is named"),
                    PageCase("/metrics", 200, null, "celeryusher_configuration_version 1.0"),
                    PageCase("/", 404, "NO_ROUTE", "there is no page"),
                    PageCase("/status/", 404, "NO_ROUTE", "the pages are /ready, /status, /explain, /metrics"),
                )
            for (case in cases) {
                val answer = fleet.get(fleet.admin, case.path)
                assertEquals(case.status, answer.statusCode(), "$case: ${answer.body()}")
                assertEquals(case.error, answer.headers().firstValue("Celeryusher-Error").orElse(null), case.path)
                assertContains(answer.body(), case.fragment, message = case.path)
            }
        }
    }

    @Test
    fun theStatusShowsTheConfigurationInForce() {
        SingleNodeFleet(document).use { fleet ->
            fleet.awaitRoutes()
            val status = Json.decodeFromString<NodeStatus>(fleet.get(fleet.admin, "/status").body())
            assertEquals(1, status.version)
            assertEquals("platform", status.control?.configuration?.source)
            assertContains(status.decisions.map { "${it.subject}: ${it.decided}" }, "configuration: in force 1")
            assertEquals(null, status.notReady)
            assertEquals(listOf("archives"), status.routes.resolved.map { it.value })
            assertEquals(5, status.routes.held.size)
            assertEquals(1, status.members.live)
            assertEquals(listOf("records-hub-long-drain", "antwerp-4-slow-line"), status.exceptions.map { it.name })
        }
    }

    @Test
    fun aNodeWithoutAConfigurationReportsThatItIsNotReady() {
        SingleNodeFleet(null).use { fleet ->
            for (path in listOf("/ready", "/explain")) {
                val answer = fleet.get(fleet.admin, path)
                assertEquals(503, answer.statusCode())
                assertEquals("NO_CONFIGURATION", answer.headers().firstValue("Celeryusher-Error").orElse(null))
            }
            val run = runCommandLine(listOf("status", "--node", "${fleet.admin}"))
            assertEquals(ExitStatus.OK, run.status, run.error)
            assertContains(run.standard, "no: This node holds no accepted configuration yet.")
        }
    }

    @Test
    fun theStatusAndExplainCommandsPrintThePagesOfANode() {
        SingleNodeFleet(document).use { fleet ->
            fleet.awaitRoutes()
            val node = "${fleet.admin}"
            val cases =
                listOf(
                    listOf("status", "--node", node) to
                        listOf("version        1", "routes         1 in service, 5 held (collections,", "A yearly archive takes up"),
                    listOf("status", "--node", node, "--json") to listOf("\"dataCentre\": \"antwerp-4\""),
                    listOf("status", "--node", node, "--since", "30d") to listOf("and has no records from before"),
                    listOf("explain", "--node", node, "--route", "archives") to
                        listOf("version 1 at records-hub-1", "45000   exception antwerp-4-slow-line"),
                )
            for ((arguments, fragments) in cases) {
                val run = runCommandLine(arguments)
                assertEquals(ExitStatus.OK, run.status, "$arguments: ${run.error}")
                for (fragment in fragments) assertContains(run.standard, fragment, message = "$arguments")
            }
            val unknown = runCommandLine(listOf("explain", "--node", node, "--route", "arch"))
            assertEquals(ExitStatus.FAILURE, unknown.status)
            assertContains(unknown.error, "answered 404")
        }
    }
}
