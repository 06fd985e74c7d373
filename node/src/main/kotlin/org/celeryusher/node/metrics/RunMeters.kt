package org.celeryusher.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** Counts what the admission of whole runs decided, and how the calls of runs fared. */
internal class RunMeters(
    private val registry: MeterRegistry,
) {
    private val refusedAtEntry = counter("celeryusher.runs.refused", "place", "entry")
    private val refusedAtGuard = counter("celeryusher.runs.refused", "place", "guard")
    private val servedCalls = counter("celeryusher.runs.calls", "result", "served")
    private val failedCalls = counter("celeryusher.runs.calls", "result", "failed")
    private val returned = Counter.builder("celeryusher.callers.returned").register(registry)

    fun recordRefusal(isAtEntry: Boolean): Unit = (if (isAtEntry) refusedAtEntry else refusedAtGuard).increment()

    fun recordCall(isServed: Boolean): Unit = (if (isServed) servedCalls else failedCalls).increment()

    fun recordReturned(): Unit = returned.increment()

    private fun counter(
        name: String,
        tag: String,
        value: String,
    ): Counter = Counter.builder(name).tag(tag, value).register(registry)
}
