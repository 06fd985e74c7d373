package org.celeryusher.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.celeryusher.kernel.admission.CallerCause
import org.celeryusher.kernel.admission.CallerPort
import org.celeryusher.kernel.admission.CallerUsage

/** Meters of what untrusted callers hold and of what is refused to them. */
internal class CallerMeters(
    private val registry: MeterRegistry,
) {
    private val refused = counters("celeryusher.callers.refused")
    private val closed = counters("celeryusher.callers.closed")

    /** Counts a refusal at [port] because of [cause]. */
    fun recordRefused(
        port: CallerPort,
        cause: CallerCause,
    ): Unit = refused.getValue(port to cause).increment()

    /** Counts a connection at [port] that is closed because of [cause]. */
    fun recordClosed(
        port: CallerPort,
        cause: CallerCause,
    ): Unit = closed.getValue(port to cause).increment()

    /** Returns the number of refusals and closings by cause, without those that did not occur. */
    fun counts(): Map<String, Long> = (total("refused", refused) + total("closed", closed)).filterValues { it > 0 }

    /** Registers the gauges, whose values come from [read]. Call it once. */
    fun register(read: () -> CallerUsage) {
        for (port in CallerPort.entries) {
            gauge("celeryusher.callers.connections", "address", port.name.lowercase()) { read().connections.getValue(port) }
        }
        Gauge.builder("celeryusher.callers.pipelined") { read().pipelinedRequests }.register(registry)
        gauge("celeryusher.callers.held.bytes", "portion", "unadmitted") { read().unadmittedBytes }
        gauge("celeryusher.callers.held.bytes", "portion", "admitted") { read().admittedBytes }
        gauge("celeryusher.callers.held.bytes", "portion", "admin") { read().adminBytes }
        gauge("celeryusher.callers.held.bytes", "portion", "all") { read().reservedBytes }
    }

    private fun total(
        kind: String,
        counters: Map<Pair<CallerPort, CallerCause>, Counter>,
    ): Map<String, Long> = counters.entries.associate { (key, counter) -> "$kind ${nameOf(key)}" to counter.count().toLong() }

    private fun nameOf(key: Pair<CallerPort, CallerCause>): String = "${key.first.name.lowercase()} ${key.second.name.lowercase()}"

    private fun counters(name: String): Map<Pair<CallerPort, CallerCause>, Counter> =
        CallerPort.entries
            .flatMap { port -> CallerCause.entries.map { port to it } }
            .associateWith { (port, cause) ->
                Counter
                    .builder(name)
                    .tag("address", port.name.lowercase())
                    .tag("cause", cause.name.lowercase())
                    .register(registry)
            }

    private fun gauge(
        name: String,
        tag: String,
        value: String,
        read: () -> Number,
    ) {
        Gauge.builder(name) { read() }.tag(tag, value).register(registry)
    }
}
