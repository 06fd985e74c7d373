package org.celeryusher.node.runtime

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.celeryusher.kernel.identity.Address
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A fake HTTP server for tests that listens on a free loopback port and handles each request with [answer]. */
class HttpFake(
    private val answer: (HttpExchange) -> Unit,
) : AutoCloseable {
    private val executor = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }

    @Volatile
    private var server = listen(0)

    val address: Address = Address("127.0.0.1", server.address.port)

    /** Stops at once and closes all connections, as a crashed process would, and restarts after [downMilliseconds]. */
    fun crash(downMilliseconds: Long) {
        val crashed = server
        executor.execute {
            crashed.stop(0)
            CompletableFuture.delayedExecutor(downMilliseconds, TimeUnit.MILLISECONDS).execute { server = listen(address.port) }
        }
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }

    private fun listen(port: Int): HttpServer =
        HttpServer.create(InetSocketAddress("127.0.0.1", port), 0).apply {
            createContext("/") { exchange -> exchange.use(answer) }
            executor = this@HttpFake.executor
            start()
        }
}

/** Responds with [status] and [body]. */
fun HttpExchange.reply(
    status: Int,
    body: String,
) {
    val bytes = body.encodeToByteArray()
    requestBody.readAllBytes()
    sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
    responseBody.write(bytes)
}
