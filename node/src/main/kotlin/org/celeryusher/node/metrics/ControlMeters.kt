package org.celeryusher.node.metrics

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.celeryusher.node.control.ControlStatus

/** Shows what the control work of a node knows and has cost, as it was at the last [refresh]. */
internal class ControlMeters(
    private val registry: MeterRegistry,
) {
    @Volatile
    private var read: (() -> ControlStatus)? = null

    @Volatile
    private var latest: ControlStatus? = null

    /** Registers the meters, which show what [read] returns. */
    fun observe(read: () -> ControlStatus) {
        this.read = read
        refresh()
        gauge("celeryusher.configuration.source.age.seconds") { secondsOf(it.configurationSource.ageMilliseconds) }
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
    }

    /** Reads the status anew; all meters of one scrape then show the same one. */
    fun refresh() {
        latest = read?.invoke()
    }

    private fun secondsOf(milliseconds: Long?): Double = if (milliseconds == null) Double.NaN else milliseconds / MILLISECONDS_A_SECOND

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
        const val MILLISECONDS_A_SECOND = 1_000.0
    }
}
