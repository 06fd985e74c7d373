package org.celeryusher.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import java.time.Duration.ofMillis
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReferenceArray
import kotlin.time.Duration

/** Counts and times the calls on one route. */
internal class RouteMeters(
    private val registry: MeterRegistry,
    val route: RouteName,
    val rank: RankName,
) {
    private val outcomes = OutcomeCounters(registry, route, rank)
    private val timer =
        Timer
            .builder("celeryusher.call.duration")
            .tag("route", route.value)
            .tag("rank", rank.value)
            .serviceLevelObjectives(*BUCKET_MILLISECONDS.map { ofMillis(it) }.toTypedArray())
            .register(registry)

    fun record(
        kind: ErrorKind?,
        duration: Duration,
    ) {
        outcomes.increment(kind)
        timer.record(duration.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    fun counts(): List<CallCount> = outcomes.counts()

    fun remove() {
        outcomes.remove()
        registry.remove(timer)
    }

    private companion object {
        val BUCKET_MILLISECONDS = listOf(1L, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)
    }
}

/** Counts calls that ended before a route was found for them. */
internal class UnroutedMeters(
    registry: MeterRegistry,
) {
    private val outcomes = OutcomeCounters(registry, null, null)

    fun record(kind: ErrorKind): Unit = outcomes.increment(kind)

    fun counts(): List<CallCount> = outcomes.counts()
}

/** One counter for each outcome of the calls on a route, created when the outcome first occurs. */
private class OutcomeCounters(
    private val registry: MeterRegistry,
    private val route: RouteName?,
    private val rank: RankName?,
) {
    private val counters = AtomicReferenceArray<Counter>(ErrorKind.entries.size + 1)

    fun increment(kind: ErrorKind?) {
        val index = indexOf(kind)
        val counter = counters.get(index) ?: register(kind).also { counters.set(index, it) }
        counter.increment()
    }

    fun counts(): List<CallCount> =
        (listOf(null) + ErrorKind.entries).mapNotNull { kind ->
            counters.get(indexOf(kind))?.let { CallCount(route, rank, kind, it.count().toLong()) }
        }

    fun remove() {
        for (index in 0 until counters.length()) counters.get(index)?.let(registry::remove)
    }

    private fun indexOf(kind: ErrorKind?): Int = if (kind == null) 0 else kind.ordinal + 1

    // Registering the same name and tags twice returns the same counter, so two threads may register it concurrently.
    private fun register(kind: ErrorKind?): Counter =
        Counter
            .builder("celeryusher.calls")
            .tag("route", route?.value ?: NONE)
            .tag("rank", rank?.value ?: NONE)
            .tag("outcome", kind?.name ?: ANSWERED)
            .register(registry)

    private companion object {
        const val NONE = "none"
        const val ANSWERED = "ANSWERED"
    }
}
