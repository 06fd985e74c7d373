package org.celeryusher.node.runtime

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import org.celeryusher.kernel.identity.Address

/** One of the HTTP addresses of a node, and the function that answers requests there. */
internal class HttpAddress(
    val address: Address,
    val answer: suspend (ApplicationCall) -> Unit,
)

/** An HTTP server that listens at all HTTP addresses of a node and dispatches requests by the local port. */
internal class NodeHttpServer(
    addresses: List<HttpAddress>,
) {
    private val answerByPort = addresses.associate { it.address.port to it.answer }

    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(
            CIO,
            configure = {
                for (listening in addresses) {
                    connector {
                        host = listening.address.host
                        port = listening.address.port
                    }
                }
                reuseAddress = true
            },
        ) {
            intercept(ApplicationCallPipeline.Call) {
                answerByPort.getValue(call.request.local.localPort)(call)
            }
        }

    /** Starts to listen; returns once all addresses are bound. */
    suspend fun start() {
        server.startSuspend(wait = false)
        server.engine.resolvedConnectors()
    }

    /** Stops listening and closes all connections. */
    suspend fun stop() {
        server.stopSuspend(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MILLISECONDS)
    }

    private companion object {
        const val STOP_TIMEOUT_MILLISECONDS = 500L
    }
}
