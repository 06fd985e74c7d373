package org.celeryusher.node.runtime

import com.sun.net.httpserver.HttpExchange
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.node.settings.ControlSettings
import org.celeryusher.node.settings.NodeAddresses
import org.celeryusher.node.settings.NodeLimits
import org.celeryusher.node.settings.NodeSettings
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration.ofSeconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A fleet of one real node of records-hub on loopback, with a fake platform and a fake backend server. */
class SingleNodeFleet(
    /** The document that the platform serves; null makes the platform unavailable. */
    document: String?,
    limits: NodeLimits = NodeLimits(),
) : AutoCloseable {
    private val addresses = freeLoopbackAddresses(4)
    private val server = HttpFake { it.reply(200, "answer to ${it.requestMethod} ${it.requestURI}") }
    private val platform = HttpFake { answerAsPlatform(it, document) }

    /** The address at which the node accepts calls. */
    val callers: Address = addresses[0]

    /** The address of the admin pages. */
    val admin: Address = addresses[3]

    /** The node. */
    val node: Node =
        Node(
            NodeSettings(
                instance = InstanceName("records-hub-1"),
                service = ServiceName("records-hub"),
                dataCentre = DataCentreName("antwerp-4"),
                addresses = NodeAddresses(addresses[0], addresses[1], addresses[2], addresses[3]),
                backendServer = server.address,
                platform = platform.address,
                limits = limits,
                control = ControlSettings(floorWaitMilliseconds = 100, watchMilliseconds = 200),
            ),
        )

    init {
        runBlocking { node.start() }
    }

    /** Waits until the node has resolved a route. */
    fun awaitRoutes(): SingleNodeFleet {
        runBlocking {
            withTimeout(10.seconds) {
                while (node.routing.current.table
                        ?.resolved
                        .isNullOrEmpty()
                ) {
                    delay(10.milliseconds)
                }
            }
        }
        return this
    }

    /** Sends GET [path] to [address] and returns the response. */
    fun get(
        address: Address,
        path: String,
    ): HttpResponse<String> =
        HttpClient.newHttpClient().send(
            HttpRequest.newBuilder(URI("http://$address$path")).timeout(ofSeconds(10)).build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    override fun close() {
        runBlocking { node.stop() }
        platform.close()
        server.close()
    }

    private fun answerAsPlatform(
        exchange: HttpExchange,
        document: String?,
    ) {
        when {
            document == null -> exchange.reply(503, "down")
            exchange.requestURI.path == "/instances" -> exchange.reply(200, instances())
            "after=0" in exchange.requestURI.query.orEmpty() -> exchange.reply(200, document)
            exchange.requestURI.query == null -> exchange.reply(200, document)
            else -> exchange.reply(204, "")
        }
    }

    private fun instances(): String =
        """
        {"revision":1,"instances":[{"instance":"records-hub-1","service":"records-hub","dataCentre":"antwerp-4",
          "controlAddress":{"host":"127.0.0.1","port":${addresses[1].port}},"frameAddress":{"host":"127.0.0.1","port":${addresses[2].port}},
          "serverAddress":{"host":"127.0.0.1","port":${server.address.port}},"state":"live"}]}
        """.trimIndent()
}
