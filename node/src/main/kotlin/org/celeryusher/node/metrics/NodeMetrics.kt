package org.celeryusher.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.celeryusher.kernel.admission.ColdState
import org.celeryusher.kernel.admission.ColdStatus
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.admission.PaceStatus
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.node.control.ControlStatus
import org.celeryusher.node.control.SourceReadStatus
import org.celeryusher.node.net.LinkStatus
import org.celeryusher.node.runtime.RoutingState
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * The metrics of one node; docs/operators/alerts.md lists their names and alert thresholds.
 *
 * The nodes of one process share no metrics. Each meter is created once, so that counting a call neither builds names nor takes a lock.
 */
public class NodeMetrics(
    routing: RoutingState,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val routesByRank = ConcurrentHashMap<String, ConcurrentHashMap<String, RouteMeters>>()
    private val unrouted = UnroutedMeters(registry)
    private val retriesMade = counter("celeryusher.retries", "result", "made")
    private val retriesRefused = counter("celeryusher.retries", "result", "refused")
    private val evacuationRefusals = counter(EVACUATION_REFUSALS, "place", "entry")
    private val runMeters = RunMeters(registry)
    private val controlMeters = ControlMeters(registry)
    private val sourceMeters = SourceMeters(registry)

    /** The counters of hedged calls. */
    public val hedges: HedgeMeters = HedgeMeters(registry)

    /** The meters of untrusted callers. */
    internal val callers: CallerMeters = CallerMeters(registry)

    init {
        gauge("celeryusher.configuration.version") {
            routing.current.snapshot
                ?.digest
                ?.version ?: 0
        }
        gauge("celeryusher.routes", "state", "resolved") {
            routing.current.table
                ?.resolved
                .orEmpty()
                .size
        }
        gauge("celeryusher.routes", "state", "held") {
            routing.current.table
                ?.held
                .orEmpty()
                .size
        }
        gauge("celeryusher.evacuated.data.centres") {
            routing.current.view.evacuated.size
        }
        for (state in MemberState.entries) {
            gauge("celeryusher.members", "state", state.name.lowercase()) {
                routing.current.view.members
                    .count { it.state == state }
            }
        }
    }

    /** Counts a call on [route] that took [duration] and ended with the error [kind], or with an answer when [kind] is null. */
    public fun recordCall(
        route: RouteName,
        rank: RankName,
        kind: ErrorKind?,
        duration: Duration,
    ): Unit = metersOf(route, rank).record(kind, duration)

    /** Counts a call that ended with the error [kind] before a route was found for it. */
    public fun recordUnroutedCall(kind: ErrorKind): Unit = unrouted.record(kind)

    /** Counts a retry that was sent. */
    public fun recordRetry(): Unit = retriesMade.increment()

    /** Counts a retry that the retry budget did not allow. */
    public fun recordRefusedRetry(): Unit = retriesRefused.increment()

    /** Counts a request that was refused because services that its run calls are overloaded, at its entry or at the guard. */
    public fun recordRefusedRun(isAtEntry: Boolean): Unit = runMeters.recordRefusal(isAtEntry)

    /** Counts a call of a run, and whether it was served in time. */
    public fun recordCallOfRun(isServed: Boolean): Unit = runMeters.recordCall(isServed)

    /** Counts a request that returned after its `Retry-After`. */
    public fun recordReturnedCaller(): Unit = runMeters.recordReturned()

    /** Registers the meters of the control plane, whose values come from [read]. Call it once. */
    public fun registerControlMeters(read: () -> ControlStatus): Unit = controlMeters.register(read)

    /** Registers the meters of how this node reads the platform, whose values come from [counts] and [read]. Call it once. */
    public fun registerSourceMeters(
        counts: ReadCounts,
        read: () -> SourceReadStatus,
    ): Unit = sourceMeters.register(counts, read)

    /** Registers the gauges of the load of the guard (admission control of the backend server), which [read] returns. Call it once. */
    public fun registerGuardMeters(read: () -> GuardLoad) {
        gauge("celeryusher.guard.calls", "state", "running") { read().running }
        gauge("celeryusher.guard.calls", "state", "queued") { read().queued }
        gauge("celeryusher.guard.limit") { read().limit }
    }

    /** Registers the counters of what the guard has not started because of what must not be reached, which [read] returns. Call it once. */
    public fun registerReachMeters(read: () -> ReachCounts) {
        FunctionCounter.builder(EVACUATION_REFUSALS, read) { it().evacuated.toDouble() }.tag("place", "guard").register(registry)
        FunctionCounter.builder("celeryusher.guard.outside.region", read) { it().outsideRegion.toDouble() }.register(registry)
        FunctionCounter.builder("celeryusher.guard.holds", read) { it().holds.toDouble() }.register(registry)
    }

    /** Registers the counters of the connections to other nodes that have gone silent, which [read] returns. Call it once. */
    public fun registerPathMeters(read: () -> PathCounts) {
        FunctionCounter.builder(SILENT_CONNECTIONS, read) { it().suspected.toDouble() }.tag("result", "suspected").register(registry)
        FunctionCounter.builder(SILENT_CONNECTIONS, read) { it().replaced.toDouble() }.tag("result", "replaced").register(registry)
    }

    /** Registers the meters of the link of the instance, whose state [read] returns. Call it once, if the link is limited. */
    internal fun registerLinkMeters(read: () -> LinkStatus) {
        gauge("celeryusher.link.waiting.bytes") { read().waitingBytes }
        gauge("celeryusher.link.waiting.messages") { read().waitingMessages }
        FunctionCounter.builder("celeryusher.link.refused", read) { it().refusedCalls.toDouble() }.register(registry)
        FunctionCounter.builder(LINK_MESSAGES, read) { it().begunMessages.toDouble() }.tag("result", "begun").register(registry)
        FunctionCounter.builder(LINK_MESSAGES, read) { it().droppedMessages.toDouble() }.tag("result", "dropped").register(registry)
    }

    /** Counts a call that this node refused as the entry because all servers that may run it are in evacuated data centres. */
    public fun recordEvacuationRefusal(): Unit = evacuationRefusals.increment()

    /** Registers the meters of how cold the backend server is, with the [healthRequests] sent to learn it. Call it once. */
    public fun registerColdMeters(
        read: () -> ColdStatus,
        healthRequests: () -> Long,
    ) {
        gauge("celeryusher.guard.cold") { if (read().state in setOf(ColdState.COLD, ColdState.UNKNOWN)) 1 else 0 }
        gauge("celeryusher.guard.turned.cold") { read().turnedCold }
        gauge("celeryusher.guard.health.requests") { healthRequests() }
    }

    /** Registers the gauges of what the guard has learned from the answers of its server, which [read] returns. Call it once. */
    public fun registerPaceMeters(read: () -> PaceStatus?) {
        gauge("celeryusher.guard.slowdown") { read()?.slowdown ?: Double.NaN }
        gauge("celeryusher.guard.refused.by.server") { read()?.refusals ?: 0 }
        gauge("celeryusher.guard.bytes") { read()?.bytes ?: 0 }
    }

    /** Registers the gauge of the number of quarantined requests, which [read] returns. Call it once. */
    public fun registerQuarantineMeters(read: () -> Int): Unit = gauge("celeryusher.quarantine.requests") { read() }

    /** Removes the meters of all routes that [snapshot] lacks or has under another rank. Call it when [snapshot] comes into force. */
    public fun removeStaleRouteMeters(snapshot: ConfigurationSnapshot) {
        for (routesOfRank in routesByRank.values) {
            val stale = routesOfRank.values.filter { snapshot.route(it.route)?.rank != it.rank }
            stale.forEach { meters ->
                routesOfRank.remove(meters.route.value)
                meters.remove()
            }
        }
    }

    /** Returns the number of calls by route, rank and outcome, without outcomes that did not occur. */
    public fun callCounts(): List<CallCount> {
        val routes = routesByRank.values.flatMap { it.values }.sortedBy(RouteMeters::route)
        return routes.flatMap(RouteMeters::counts) + unrouted.counts()
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String {
        controlMeters.refresh()
        return registry.scrape()
    }

    private fun metersOf(
        route: RouteName,
        rank: RankName,
    ): RouteMeters {
        val routesOfRank = routesByRank[rank.value] ?: routesByRank.computeIfAbsent(rank.value) { ConcurrentHashMap() }
        return routesOfRank[route.value] ?: routesOfRank.computeIfAbsent(route.value) { RouteMeters(registry, route, rank) }
    }

    private fun counter(
        name: String,
        tag: String,
        value: String,
    ): Counter = Counter.builder(name).tag(tag, value).register(registry)

    private fun gauge(
        name: String,
        vararg tags: String,
        read: () -> Number,
    ) {
        Gauge.builder(name) { read() }.tags(*tags).register(registry)
    }

    private companion object {
        const val EVACUATION_REFUSALS = "celeryusher.evacuation.refusals"
        const val LINK_MESSAGES = "celeryusher.link.messages"
        const val SILENT_CONNECTIONS = "celeryusher.connections.silent"
    }
}
