package org.celeryusher.node.metrics

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.celeryusher.kernel.distribution.EraFault
import org.celeryusher.kernel.distribution.SourceMode
import org.celeryusher.node.control.SourceReadStatus

/** The meters of how this node reads the platform. The age of the configuration is a meter of the control plane. */
internal class SourceMeters(
    private val registry: MeterRegistry,
) {
    /** Registers the meters, whose values come from [counts] and [read]. */
    fun register(
        counts: ReadCounts,
        read: () -> SourceReadStatus,
    ) {
        for (kind in ReadKind.entries) {
            for (outcome in ReadOutcome.entries) {
                FunctionCounter
                    .builder(READS, counts) { it.count(kind, outcome).toDouble() }
                    .tags("read", kind.name.lowercase(), "outcome", outcome.name.lowercase())
                    .register(registry)
            }
        }
        for (mode in SourceMode.entries) {
            gauge("celeryusher.source.mode", "mode", mode.name.lowercase()) { if (read().mode == mode) 1.0 else 0.0 }
        }
        for (fault in EraFault.entries) {
            val name = fault.name.lowercase()
            FunctionCounter
                .builder("celeryusher.source.era.refusals", read) { (it().refusedEras[name] ?: 0).toDouble() }
                .tags("fault", name)
                .register(registry)
        }
        counter("celeryusher.configuration.sent", read, "form", "changes") { it.transfers.changesSent }
        counter("celeryusher.configuration.sent", read, "form", "document") { it.transfers.documentsSent }
        counter("celeryusher.configuration.sent.bytes", read, "form", "changes") { it.transfers.changeBytesSent }
        counter("celeryusher.configuration.sent.bytes", read, "form", "document") { it.transfers.documentBytesSent }
        counter("celeryusher.configuration.received", read, "form", "changes") { it.transfers.changesReceived }
        counter("celeryusher.configuration.received", read, "form", "document") { it.transfers.documentsReceived }
        counter("celeryusher.configuration.changes.refused", read) { it.transfers.changesRefused }
        gauge("celeryusher.configuration.lag.seconds") { toSeconds(read().lag.behindMilliseconds) }
        gauge("celeryusher.source.era") { read().era?.toDouble() ?: Double.NaN }
        gauge("celeryusher.source.era.change.age.seconds") { toSeconds(read().eraChangeAgeMilliseconds) }
        gauge("celeryusher.source.held", "data", "instances") { read().heldInstances.size.toDouble() }
        gauge("celeryusher.source.held", "data", "evacuations") { read().heldEvacuations.size.toDouble() }
        gauge("celeryusher.instances.source.age.seconds") { toSeconds(read().instancesAgeMilliseconds) }
        gauge("celeryusher.evacuations.listing.age.seconds") { toSeconds(read().evacuationListingAgeMilliseconds) }
    }

    private fun toSeconds(milliseconds: Long?): Double = if (milliseconds == null) Double.NaN else milliseconds / MILLISECONDS_PER_SECOND

    private fun counter(
        name: String,
        read: () -> SourceReadStatus,
        vararg tags: String,
        value: (SourceReadStatus) -> Long,
    ) {
        FunctionCounter.builder(name, read) { value(it()).toDouble() }.tags(*tags).register(registry)
    }

    private fun gauge(
        name: String,
        vararg tags: String,
        read: () -> Double,
    ) {
        Gauge.builder(name) { read() }.tags(*tags).register(registry)
    }

    private companion object {
        const val READS = "celeryusher.source.reads"
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
