package org.celeryusher.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** Counts the control messages of one kind, and their bytes, in both directions. */
internal class ControlMeters(
    private val registry: MeterRegistry,
    private val traffic: ControlTraffic,
) {
    private val messagesSent = counter("celeryusher.control.messages", "sent")
    private val messagesReceived = counter("celeryusher.control.messages", "received")
    private val bytesSent = counter("celeryusher.control.bytes", "sent")
    private val bytesReceived = counter("celeryusher.control.bytes", "received")

    fun sent(bytes: Int) {
        messagesSent.increment()
        bytesSent.increment(bytes.toDouble())
    }

    fun received(bytes: Int) {
        messagesReceived.increment()
        bytesReceived.increment(bytes.toDouble())
    }

    private fun counter(
        name: String,
        direction: String,
    ): Counter =
        Counter
            .builder(name)
            .tag("traffic", traffic.name.lowercase())
            .tag("direction", direction)
            .register(registry)
}
