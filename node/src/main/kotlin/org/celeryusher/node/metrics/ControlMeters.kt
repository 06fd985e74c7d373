package org.celeryusher.node.metrics

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.celeryusher.node.control.ControlStatus

/** Meters of the state and the traffic of a node's control plane, as of the last [refresh]. */
internal class ControlMeters(
    private val registry: MeterRegistry,
) {
    @Volatile
    private var readStatus: (() -> ControlStatus)? = null

    @Volatile
    private var latest: ControlStatus? = null

    /** Registers the meters, whose values come from [readStatus]. */
    fun register(readStatus: () -> ControlStatus) {
        this.readStatus = readStatus
        refresh()
        gauge("celeryusher.configuration.source.age.seconds") { toSeconds(it.configurationSource.ageMilliseconds) }
        gauge("celeryusher.configuration.refusals", "cause", "faults") { it.refused.size.toDouble() }
        gauge("celeryusher.configuration.refusals", "cause", "conflict") { it.conflicts.size.toDouble() }
        counter("celeryusher.control.messages", "direction", "sent") { it.traffic.messagesOut }
        counter("celeryusher.control.messages", "direction", "received") { it.traffic.messagesIn }
        counter("celeryusher.control.bytes", "direction", "sent") { it.traffic.bytesOut }
        counter("celeryusher.control.bytes", "direction", "received") { it.traffic.bytesIn }
        counter("celeryusher.control.faults", "cause", "failed") { it.traffic.failedExchanges }
        counter("celeryusher.control.faults", "cause", "malformed") { it.traffic.malformedMessages }
        counter("celeryusher.control.faults", "cause", "unauthenticated") { it.traffic.unauthenticatedMessages }
        counter("celeryusher.platform.calls", "read", "configuration") { it.traffic.configurationReads }
        counter("celeryusher.platform.calls", "read", "instances") { it.traffic.instanceReads }
        counter("celeryusher.evacuation.answers.below") { it.evacuationAnswersBelow }
    }

    /** Reads the status again, so that all meters of one scrape show the same status. */
    fun refresh() {
        latest = readStatus?.invoke()
    }

    private fun toSeconds(milliseconds: Long?): Double = if (milliseconds == null) Double.NaN else milliseconds / MILLISECONDS_PER_SECOND

    private fun gauge(
        name: String,
        vararg tags: String,
        value: (ControlStatus) -> Double,
    ) {
        Gauge.builder(name) { latest?.let(value) ?: Double.NaN }.tags(*tags).register(registry)
    }

    private fun counter(
        name: String,
        vararg tags: String,
        value: (ControlStatus) -> Long,
    ) {
        FunctionCounter.builder(name, this) { it.latest?.let(value)?.toDouble() ?: 0.0 }.tags(*tags).register(registry)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
