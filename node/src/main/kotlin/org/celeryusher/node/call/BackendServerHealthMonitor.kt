package org.celeryusher.node.call

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.configuration.JsonNesting
import org.celeryusher.kernel.identity.Address
import org.celeryusher.node.control.BackendServerState
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Polls the health endpoint of the backend server beside this node and calls [onChange] when its state changes. */
internal class BackendServerHealthMonitor(
    private val client: HttpClient,
    private val server: Address,
    private val interval: Duration,
    private val onChange: suspend (before: BackendServerState?, after: BackendServerState) -> Unit,
) {
    private val format = Json { ignoreUnknownKeys = true }

    /** The state at the last poll, or null before the first one. */
    @Volatile
    var state: BackendServerState? = null
        private set

    /** Polls until cancelled. */
    suspend fun run() {
        while (true) {
            val after = read()
            val before = state
            state = after
            if (after != before) onChange(before, after)
            delay(interval)
        }
    }

    private suspend fun read(): BackendServerState =
        try {
            withTimeout(READ_TIMEOUT) { stateOf(client.get("http://$server/health").bodyAsText()) }
        } catch (_: TimeoutCancellationException) {
            BackendServerState.DEAD
        } catch (error: CancellationException) {
            throw error
        } catch (_: IOException) {
            BackendServerState.DEAD
        }

    // A server that responds, but without a valid health report, is assumed to have no health endpoint and counts as ready.
    private fun stateOf(body: String): BackendServerState =
        try {
            if (!JsonNesting.isWithinLimit(body)) return BackendServerState.READY
            when (format.decodeFromString<HealthReport>(body).state) {
                "starting" -> BackendServerState.STARTING
                "draining" -> BackendServerState.DRAINING
                else -> BackendServerState.READY
            }
        } catch (_: SerializationException) {
            BackendServerState.READY
        }

    @Serializable
    private data class HealthReport(
        val state: String = "ready",
    )

    private companion object {
        val READ_TIMEOUT = 1.seconds
    }
}
