package org.celeryusher.standin

import org.celeryusher.kernel.identity.Address
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** A blocking HTTP client for tests. */
class TestClient {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val requestLimit = Duration.ofSeconds(60)

    fun get(
        address: Address,
        target: String,
        vararg headers: String,
    ): HttpResponse<ByteArray> =
        client.send(request("GET", address, target, ByteArray(0), headers), HttpResponse.BodyHandlers.ofByteArray())

    fun post(
        address: Address,
        target: String,
        body: ByteArray,
        vararg headers: String,
    ): HttpResponse<ByteArray> = client.send(request("POST", address, target, body, headers), HttpResponse.BodyHandlers.ofByteArray())

    fun getAsync(
        address: Address,
        target: String,
    ): CompletableFuture<HttpResponse<ByteArray>> = sendAsync(request("GET", address, target, ByteArray(0), emptyArray()))

    /** Sends a POST, because the JDK's client resends a GET but not a POST when the connection breaks. */
    fun postAsync(
        address: Address,
        target: String,
    ): CompletableFuture<HttpResponse<ByteArray>> = sendAsync(request("POST", address, target, ByteArray(0), emptyArray()))

    private fun sendAsync(request: HttpRequest): CompletableFuture<HttpResponse<ByteArray>> =
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())

    private fun request(
        method: String,
        address: Address,
        target: String,
        body: ByteArray,
        headers: Array<out String>,
    ): HttpRequest {
        val builder = HttpRequest.newBuilder(URI("http://$address$target")).timeout(requestLimit)
        if (headers.isNotEmpty()) builder.headers(*headers)
        return builder.method(method, HttpRequest.BodyPublishers.ofByteArray(body)).build()
    }
}

fun HttpResponse<ByteArray>.text(): String = body().decodeToString()

fun awaitUntil(
    what: String,
    condition: () -> Boolean,
) {
    val limit = System.nanoTime() + 20_000_000_000
    while (!condition()) {
        check(System.nanoTime() < limit) { "timed out while waiting until $what" }
        Thread.onSpinWait()
    }
}
