package org.celeryusher.node.runtime

import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import org.celeryusher.node.net.TcpNetwork

/**
 * The network and the HTTP client, which several nodes of one process can share.
 *
 * A node that is the only one in its process has its own; the demo and the measurements share one among all their nodes.
 */
public class SharedResources : AutoCloseable {
    /** The network for all connections of callers, backend servers and frames. */
    public val network: TcpNetwork = TcpNetwork()

    /** The HTTP client for the platform, health checks and the control addresses of other nodes. It never resends a request by itself. */
    public val httpClient: HttpClient get() = client.value

    private val client =
        lazy {
            System.setProperty(SEND_LIMIT_PROPERTY, "1")
            System.setProperty(KEEP_ALIVE_PROPERTY, KEEP_ALIVE_SECONDS.toString())
            HttpClient(Java) {
                expectSuccess = false
                followRedirects = false
                engine {
                    protocolVersion = java.net.http.HttpClient.Version.HTTP_1_1
                }
            }
        }

    override fun close() {
        if (client.isInitialized()) client.value.close()
        network.close()
    }

    private companion object {
        // The JDK's client resends a request by itself when a pooled connection breaks. A limit of one send keeps the run status correct.
        const val SEND_LIMIT_PROPERTY = "jdk.httpclient.redirects.retrylimit"

        // The default keeps an idle connection for 20 minutes, so a node that gossips with random peers would keep one to each of them.
        const val KEEP_ALIVE_PROPERTY = "jdk.httpclient.keepalive.timeout"
        const val KEEP_ALIVE_SECONDS = 5
    }
}
