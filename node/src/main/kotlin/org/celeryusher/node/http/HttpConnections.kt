package org.celeryusher.node.http

import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How one exchange with an HTTP server ended. */
internal sealed interface ExchangeResult {
    /** A whole answer came. */
    class Answered(
        val response: HttpResponse,
    ) : ExchangeResult

    /** No connection could be opened, so nothing was sent. */
    data class NotConnected(
        val detail: String,
        /** Whether the server's address refused the connection, which shows that nothing listens there. */
        val isRefused: Boolean,
    ) : ExchangeResult

    /** The connection broke, or nothing whole came, after the request or a part of it had been sent. */
    data class Broken(
        val detail: String,
        /** Whether a part of an answer had come. */
        val hasBegun: Boolean,
    ) : ExchangeResult
}

/** The bounds of the connections to one server. */
internal data class ConnectionLimits(
    val connectTimeout: Duration = 500.milliseconds,
    val maximumHeadBytes: Int = 65_536,
    val maximumBodyBytes: Int,
    /** How long an unused connection is kept when the server names no time. */
    val idleTimeout: Duration = 4.seconds,
)

/**
 * The kept connections to one HTTP server; each carries one exchange at a time, and a request is never sent twice.
 *
 * A connection is used again only when its last answer was whole, nothing followed it, and the server is not about to close it.
 */
internal class HttpConnections(
    private val address: Address,
    private val network: TcpNetwork,
    private val clock: ProcessClock,
    private val limits: ConnectionLimits,
) {
    private class Kept(
        val stream: HttpStream,
        val usableUntil: Moment,
    )

    private val kept = ArrayDeque<Kept>()

    /**
     * Sends [request] and returns what came of it. An answer for which [isForeign] holds belongs to an earlier request and is passed over.
     *
     * Cancelling the caller closes the connection, by which the server learns that the answer is not wanted.
     */
    suspend fun exchange(
        request: HttpRequest,
        isForeign: (List<HeaderField>) -> Boolean = { false },
    ): ExchangeResult {
        val stream =
            try {
                reuse() ?: connect()
            } catch (error: java.net.ConnectException) {
                return ExchangeResult.NotConnected(error.message.orEmpty(), isRefused = true)
            } catch (error: IOException) {
                return ExchangeResult.NotConnected(describe(error), isRefused = false)
            }
        return exchange(stream, request, isForeign)
    }

    /** Returns whether a new connection can be opened now; false only when the address refuses it. */
    suspend fun isListening(): Boolean =
        try {
            connect().close()
            true
        } catch (_: java.net.ConnectException) {
            false
        } catch (_: IOException) {
            true
        }

    /** Closes the connections that are not in use. */
    @Synchronized
    fun closeKept() {
        kept.forEach { it.stream.close() }
        kept.clear()
    }

    private suspend fun exchange(
        stream: HttpStream,
        request: HttpRequest,
        isForeign: (List<HeaderField>) -> Boolean,
    ): ExchangeResult {
        var isKept = false
        val progress = Progress()
        try {
            stream.write(HttpWriter.encode(request))
            val head = readFinalHead(stream, request.method, isForeign, progress)
            val framing = head.framing(request.method)
            val body = stream.readBody(framing, limits.maximumBodyBytes)
            val mayKeep = head.keepsConnection && framing != BodyFraming.UntilClose && !progress.passedOverAnswer && stream.isQuiet
            isKept = mayKeep && keep(stream, head)
            return ExchangeResult.Answered(HttpResponse(head.status, head.headers, body))
        } catch (error: IOException) {
            return ExchangeResult.Broken(describe(error), progress.hasBegun)
        } finally {
            if (!isKept) stream.close()
        }
    }

    private class Progress {
        var hasBegun = false
        var passedOverAnswer = false
    }

    private suspend fun readFinalHead(
        stream: HttpStream,
        method: String,
        isForeign: (List<HeaderField>) -> Boolean,
        progress: Progress,
    ): ResponseHead {
        while (true) {
            val text = stream.readHead(limits.maximumHeadBytes) ?: throw IOException("the server closed the connection without an answer")
            val head = ResponseHead.parse(text)
            if (head.isInterim) continue
            if (!isForeign(head.headers)) {
                progress.hasBegun = true
                return head
            }
            val framing = head.framing(method)
            if (framing == BodyFraming.UntilClose) throw IOException("an answer to another request ends with the connection")
            stream.readBody(framing, limits.maximumBodyBytes)
            progress.passedOverAnswer = true
        }
    }

    @Synchronized
    private fun reuse(): HttpStream? {
        val now = clock.now()
        while (true) {
            val last = kept.removeLastOrNull() ?: return null
            if (now < last.usableUntil && last.stream.isQuiet) return last.stream
            last.stream.close()
        }
    }

    @Synchronized
    private fun keep(
        stream: HttpStream,
        head: ResponseHead,
    ): Boolean {
        val now = clock.now()
        while (kept.isNotEmpty() && kept.first().usableUntil <= now) kept.removeFirst().stream.close()
        if (kept.size >= MOST_KEPT_CONNECTIONS) return false
        val announced = keepAliveTimeout(head.headers)?.let { it - CLOSE_MARGIN } ?: limits.idleTimeout
        if (!announced.isPositive()) return false
        kept += Kept(stream, now + minOf(announced, limits.idleTimeout))
        return true
    }

    private suspend fun connect(): HttpStream =
        try {
            HttpStream(withTimeout(limits.connectTimeout) { network.connect(address) })
        } catch (error: TimeoutCancellationException) {
            throw IOException("no connection to $address within ${limits.connectTimeout}", error)
        }

    private fun keepAliveTimeout(headers: List<HeaderField>): Duration? =
        headers
            .values("Keep-Alive")
            .flatMap { it.split(',') }
            .map { it.trim() }
            .firstOrNull { it.startsWith("timeout=", ignoreCase = true) }
            ?.substringAfter('=')
            ?.toIntOrNull()
            ?.seconds

    private fun describe(error: IOException): String = "$address: ${error.message ?: error.javaClass.simpleName}"

    private companion object {
        const val MOST_KEPT_CONNECTIONS = 16

        /** A connection that the server closes sooner than this is not used again: the request would cross the close. */
        val CLOSE_MARGIN = 1.seconds
    }
}
