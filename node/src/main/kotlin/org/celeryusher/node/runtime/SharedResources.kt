package org.celeryusher.node.runtime

import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import org.celeryusher.node.net.TcpNetwork

/**
 * What several nodes of one process may share: the network and the HTTP client.
 *
 * A node that runs alone in its process owns one; the demo and the measurements give one to all their nodes.
 */
public class SharedResources : AutoCloseable {
    /** Carries all connections of callers, backend servers and frames. */
    public val network: TcpNetwork = TcpNetwork()

    /** The client towards the platform and other nodes' control addresses. It never sends a request twice by itself. */
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
        // The JDK's client sends a request again by itself when a pooled connection breaks; one send keeps the run status honest.
        const val SEND_LIMIT_PROPERTY = "jdk.httpclient.redirects.retrylimit"

        // The default keeps an idle connection for 20 minutes: a node that talks to random others would end with one to each of them.
        const val KEEP_ALIVE_PROPERTY = "jdk.httpclient.keepalive.timeout"
        const val KEEP_ALIVE_SECONDS = 5
    }
}
