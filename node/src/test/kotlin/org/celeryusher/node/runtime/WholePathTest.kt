package org.celeryusher.node.runtime

import com.sun.net.httpserver.HttpExchange
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.node.settings.NodeAddresses
import org.celeryusher.node.settings.NodeSettings
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration.ofSeconds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WholePathTest {
    private val document =
        """
        {"version":1,"defaults":{},"ranks":[{"name":"lookups","guaranteedShare":0.5}],
         "services":[{"name":"records-hub","slots":6,"connections":130}],
         "routes":[{"name":"readings","method":"GET","pathPrefix":"/readings","service":"records-hub","rank":"lookups","idempotent":true}]}
        """.trimIndent()

    @Test
    fun aRequestReachesABackendServerOfAnotherInstanceThroughBothNodes() =
        runBlocking {
            HttpFake { it.reply(200, "answer to ${it.requestURI}") }.use { server ->
                val (callers, control, frames, admin) = freeLoopbackAddresses(4)
                val other = freeLoopbackAddresses(4)
                HttpFake { answerAsPlatform(it, other[2], server.address) }.use { platform ->
                    val proxyNode =
                        nodeOf("billing-desk-1", "billing-desk", listOf(callers, control, frames, admin), server.address, platform.address)
                    val guardNode = nodeOf("records-hub-1", "records-hub", other, server.address, platform.address)
                    proxyNode.start()
                    guardNode.start()
                    withTimeout(10.seconds) {
                        waitUntilRouting(proxyNode)
                        waitUntilRouting(guardNode)
                    }
                    val answer = get("http://$callers/readings/7?year=2026")
                    assertEquals("answer to /readings/7?year=2026", answer.body())
                    assertEquals("ran", answer.headers().firstValue("Celeryusher-Run-Status").orElse(""))
                    val missing = get("http://$callers/nowhere")
                    assertEquals(404, missing.statusCode())
                    assertEquals("NO_ROUTE", missing.headers().firstValue("Celeryusher-Error").orElse(""))
                    proxyNode.stop()
                    guardNode.stop()
                }
            }
        }

    private suspend fun waitUntilRouting(node: Node) {
        while (node.routing.current.table
                ?.resolved
                .isNullOrEmpty()
        ) {
            delay(10.milliseconds)
        }
    }

    private fun get(address: String): HttpResponse<String> =
        HttpClient.newHttpClient().send(
            HttpRequest.newBuilder(URI(address)).timeout(ofSeconds(10)).build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    private fun nodeOf(
        instance: String,
        service: String,
        addresses: List<Address>,
        server: Address,
        platform: Address,
    ): Node =
        Node(
            NodeSettings(
                instance = InstanceName(instance),
                service = ServiceName(service),
                dataCentre = DataCentreName("antwerp-1"),
                addresses = NodeAddresses(addresses[0], addresses[1], addresses[2], addresses[3]),
                backendServer = server,
                platform = platform,
            ),
        )

    private fun answerAsPlatform(
        exchange: HttpExchange,
        frames: Address,
        server: Address,
    ) {
        val query = exchange.requestURI.query.orEmpty()
        when {
            exchange.requestURI.path == "/instances" -> exchange.reply(200, instances(frames, server))
            "after=1" in query -> exchange.reply(204, "")
            else -> exchange.reply(200, document)
        }
    }

    private fun instances(
        frames: Address,
        server: Address,
    ): String =
        """
        {"revision":1,"instances":[{"instance":"records-hub-1","service":"records-hub","dataCentre":"antwerp-1",
          "controlAddress":{"host":"127.0.0.1","port":1},"frameAddress":{"host":"127.0.0.1","port":${frames.port}},
          "serverAddress":{"host":"127.0.0.1","port":${server.port}},"state":"live"}]}
        """.trimIndent()
}
