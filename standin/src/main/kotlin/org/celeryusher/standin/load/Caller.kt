package org.celeryusher.standin.load

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.kernel.identity.Address
import org.celeryusher.standin.server.EchoAnswer
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpTimeoutException
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/** A request to send to a node or a backend server. */
public class CallerRequest(
    public val method: String,
    public val target: String,
    public val deadline: Duration,
    public val body: ByteArray = ByteArray(0),
    public val headers: List<RequestHeader> = emptyList(),
)

/** A header of a request. */
public data class RequestHeader(
    public val name: String,
    public val value: String,
)

/**
 * A simulated caller. It sends each request once and checks that the answer is complete and belongs to the request.
 *
 * The HTTP client of the JDK resends a GET when a pooled connection breaks, unless `jdk.httpclient.redirects.retrylimit` is 1. This class
 * sets that system property before it creates its client.
 */
public class Caller : AutoCloseable {
    private val executor = Executors.newFixedThreadPool(CLIENT_THREADS) { Thread(it, "caller").apply { isDaemon = true } }
    private val client: HttpClient =
        run {
            System.setProperty("jdk.httpclient.redirects.retrylimit", "1")
            HttpClient
                .newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(executor)
                .build()
        }

    /** Sends [request] to the node or backend server at [address] and returns the outcome. */
    public suspend fun call(
        address: Address,
        request: CallerRequest,
    ): CallOutcome {
        val start = TimeSource.Monotonic.markNow()
        return try {
            outcomeOf(request, send(address, request), start.elapsedNow())
        } catch (error: CancellationException) {
            throw error
        } catch (_: HttpTimeoutException) {
            CallOutcome.Lost("no answer within the deadline")
        } catch (error: IOException) {
            CallOutcome.Lost(error.javaClass.simpleName)
        }
    }

    /** Sends [request] and returns the unchecked response. */
    public suspend fun send(
        address: Address,
        request: CallerRequest,
    ): HttpResponse<ByteArray> {
        val builder =
            HttpRequest
                .newBuilder(URI("http://$address${request.target}"))
                .timeout((request.deadline + DEADLINE_MARGIN).toJavaDuration())
                .header("Celeryusher-Deadline-Milliseconds", request.deadline.inWholeMilliseconds.toString())
        request.headers.forEach { builder.header(it.name, it.value) }
        val publisher =
            if (request.body.isEmpty()) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofByteArray(request.body)
        return client.sendAsync(builder.method(request.method, publisher).build(), HttpResponse.BodyHandlers.ofByteArray()).await()
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun outcomeOf(
        request: CallerRequest,
        response: HttpResponse<ByteArray>,
        latency: Duration,
    ): CallOutcome =
        when {
            response.statusCode() != OK -> {
                refusal(response)
            }

            EchoAnswer.matches(request.method, request.target, request.body, response.body()) -> {
                CallOutcome.Answered(latency)
            }

            else -> {
                CallOutcome.Mismatched
            }
        }

    private fun refusal(response: HttpResponse<ByteArray>): CallOutcome {
        val status = response.headers().firstValue("Celeryusher-Run-Status").orElse("")
        val kind = response.headers().firstValue("Celeryusher-Error").orElse("status ${response.statusCode()}")
        return CallOutcome.Refused(kind, RunStatus.entries.find { it.headerValue == status } ?: RunStatus.UNKNOWN)
    }

    private companion object {
        const val OK = 200
        const val CLIENT_THREADS = 4
        val DEADLINE_MARGIN = 250.milliseconds
    }
}
