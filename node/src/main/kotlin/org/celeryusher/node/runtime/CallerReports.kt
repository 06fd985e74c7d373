package org.celeryusher.node.runtime

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.celeryusher.kernel.admission.CallerBudgetLimits
import org.celeryusher.kernel.admission.CallerCause
import org.celeryusher.kernel.admission.CallerPort
import org.celeryusher.kernel.admission.CallerUsage
import org.celeryusher.kernel.admission.HeldConnection
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.log.LogRateLimiter
import org.celeryusher.node.metrics.CallerMeters
import org.celeryusher.node.net.CallerObserver

/** Counts what is refused to callers, and writes at most one log line a second for each kind of refusal or closing. */
internal class CallerReports(
    private val meters: CallerMeters,
    private val decisions: DecisionLog,
    private val clock: ProcessClock,
) : CallerObserver {
    private val limiters = List(2 * CallerPort.entries.size * CallerCause.entries.size) { LogRateLimiter(linesPerSecond = 1) }

    override fun recordRefused(
        port: CallerPort,
        cause: CallerCause,
    ) {
        meters.recordRefused(port, cause)
        report(isClosing = false, port, cause) { arrayOf("address" to port.name.lowercase(), "count" to it) }
    }

    override fun recordClosed(
        connection: HeldConnection,
        cause: CallerCause,
    ) {
        meters.recordClosed(connection.port, cause)
        report(isClosing = true, connection.port, cause) {
            arrayOf(
                "address" to connection.port.name.lowercase(),
                "phase" to connection.phase.name.lowercase(),
                "held" to connection.heldBytes,
                "count" to it,
            )
        }
    }

    /** Returns what [usage] tells operators, beside the [limits]. */
    fun describe(
        usage: CallerUsage,
        limits: CallerBudgetLimits,
    ): JsonElement =
        buildJsonObject {
            for ((port, count) in usage.connections) {
                put("${port.name.lowercase()}Connections", JsonPrimitive("$count of ${limits.connections.getValue(port)}"))
            }
            put("unadmittedBytes", JsonPrimitive("${usage.unadmittedBytes} of ${limits.unadmittedBytes}"))
            put("admittedBytes", JsonPrimitive(usage.admittedBytes))
            put("adminBytes", JsonPrimitive("${usage.adminBytes} of ${limits.adminBytes}"))
            put("pipelinedRequests", JsonPrimitive("${usage.pipelinedRequests} of ${limits.pipelinedRequests}"))
            put("messageBytes", JsonPrimitive("${usage.reservedBytes} of ${limits.capacityBytes}"))
            meters.counts().forEach { (name, count) -> put(name, JsonPrimitive(count)) }
        }

    private inline fun report(
        isClosing: Boolean,
        port: CallerPort,
        cause: CallerCause,
        inputs: (dropped: Long) -> Array<Pair<String, Any?>>,
    ) {
        val kind = (port.ordinal * CallerCause.entries.size + cause.ordinal) * 2 + if (isClosing) 1 else 0
        val outcome = limiters[kind].tryAcquire(clock.now())
        if (!outcome.isAllowed) return
        val decided = if (isClosing) "closed" else "refused"
        decisions.record("caller", decided, reasonOf(cause), *inputs(outcome.droppedBefore + 1))
    }

    private fun reasonOf(cause: CallerCause): String =
        when (cause) {
            CallerCause.CONNECTIONS -> "too many connections at this address"
            CallerCause.MEMORY -> "the memory for callers is short"
            CallerCause.TOO_LARGE -> "the request is larger than what this node can hold"
            CallerCause.PIPELINED -> "too many pipelined requests are in progress"
            CallerCause.SLOW_SENDER -> "the request arrives more slowly than the minimum rate"
            CallerCause.SLOW_READER -> "the response is read more slowly than the minimum rate"
        }
}
