package org.celeryusher.node.call

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.celeryusher.kernel.admission.PaceStatus
import org.celeryusher.node.log.DecisionLog
import kotlin.time.Duration.Companion.milliseconds

/** Logs when the guard lets through fewer calls than its server declares, because of what the server's answers show. */
internal class PaceWatch(
    private val guard: Guard,
    private val decisions: DecisionLog,
) {
    private var wasReduced = false
    private var refusalsLogged = 0L

    /** What the guard has learned, or null before a policy is applied. */
    val status: PaceStatus? get() = guard.paceStatus()

    /** Returns the state for the status page. */
    fun describe(): JsonElement {
        val current = status
        return buildJsonObject {
            put("slowdown", current?.slowdown)
            put("limit", current?.limit)
            put("declared", current?.declared)
            put("refusedByServer", current?.refusals)
            put("bytes", current?.bytes)
        }
    }

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            status?.let(::logChange)
            delay(INTERVAL)
        }
    }

    private fun logChange(current: PaceStatus) {
        val isReduced = current.limit < current.declared
        if (isReduced == wasReduced) return
        wasReduced = isReduced
        decisions.record(
            "pace",
            if (isReduced) "limit reduced" else "limit restored",
            if (isReduced) "the server refused calls, or counts those of others" else "the server took what was let through",
            "limit" to current.limit,
            "declared" to current.declared,
            "slowdown" to current.slowdown,
            "refusals" to current.refusals - refusalsLogged,
        )
        refusalsLogged = current.refusals
    }

    private companion object {
        val INTERVAL = 500.milliseconds
    }
}
