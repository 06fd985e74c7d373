package org.celeryusher.node.call

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.celeryusher.kernel.admission.ColdLimit
import org.celeryusher.kernel.admission.ColdState
import org.celeryusher.kernel.admission.ColdStatus
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.membership.ListedServer
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Asks the backend server how long it stays cold whenever its guard needs to know, and logs how cold the guard takes it to be. */
internal class ColdWatch(
    private val guard: Guard,
    private val server: BackendServerClient,
    private val clock: ProcessClock,
    private val decisions: DecisionLog,
) {
    /** The path of the server's health page, or null if the configuration names none. */
    @Volatile
    var healthPath: String? = null

    /** The number of health requests sent. */
    val healthRequests: AtomicLong = AtomicLong()

    private var logged = ColdState.UNLIMITED

    /** What the guard knows. */
    val status: ColdStatus get() = guard.withCold { cold, now -> cold.status(now) }

    /** Records what the [entry] of the server states. */
    fun entryWritten(entry: ListedServer) {
        guard.withCold { cold, now -> cold.entryStated(entry.slowStartRemaining, now) }
    }

    /** Returns the state for the status page. */
    fun describe(): JsonElement {
        val current = status
        return buildJsonObject {
            put("state", current.state.name.lowercase())
            put("callsPerSecond", current.callsPerSecond)
            put("turnedCold", current.turnedCold)
            put("healthRequests", healthRequests.get())
        }
    }

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            askIfDue()
            val state = logState()
            delay(if (state == ColdState.UNLIMITED) INTERVAL_UNLIMITED else INTERVAL)
        }
    }

    private suspend fun askIfDue() {
        val path = healthPath ?: return
        if (!guard.withCold { cold, now -> cold.shouldAsk(now) }) return
        val sentAt = clock.now()
        healthRequests.incrementAndGet()
        val notice = withTimeoutOrNull(HEALTH_TIMEOUT) { server.health(path) }
        guard.withCold { cold, now ->
            if (notice == null) cold.askingFailed(now) else notice.coldRemaining?.let { cold.serverStated(it, sentAt, now) }
        }
    }

    private fun logState(): ColdState {
        val current = status
        if (current.state != logged) {
            decisions.record("cold", current.state.name.lowercase(), reasonOf(current.state), "callsPerSecond" to current.callsPerSecond)
        }
        logged = current.state
        return current.state
    }

    private fun reasonOf(state: ColdState): String =
        when (state) {
            ColdState.UNLIMITED -> "the configuration states no limit for cold servers"
            ColdState.UNKNOWN -> "the guard, the server or its address is new or did not answer"
            ColdState.COLD -> "stated by the server or its entry"
            ColdState.WARMING -> "its cold time has ended"
            ColdState.WARM -> "its cold time ended a while ago"
        }

    private companion object {
        val INTERVAL = 50.milliseconds
        val INTERVAL_UNLIMITED = 250.milliseconds

        /** A health page answers at once; a server that does not is treated as if it had not been asked. */
        val HEALTH_TIMEOUT = 300.milliseconds
    }
}

/** Records what the [result] of a call started at [startedAt] shows of how cold the server is. */
internal fun ColdLimit.recordResult(
    result: CallResult,
    startedAt: Moment,
    now: Moment,
) {
    if (result is CallResult.Answered) answered(startedAt, now)
    when ((result as? CallResult.Failed)?.kind) {
        ErrorKind.SERVER_CRASHED -> stateLost(now)
        ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_TORN -> connectionLost()
        ErrorKind.DEADLINE_WHILE_RUNNING, ErrorKind.CANCELLED_WHILE_RUNNING -> abandoned(startedAt)
        ErrorKind.SERVER_REPLACED -> giveBack()
        else -> Unit
    }
}
