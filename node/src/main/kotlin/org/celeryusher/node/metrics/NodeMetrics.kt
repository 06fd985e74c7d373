package org.celeryusher.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.node.control.ControlStatus
import org.celeryusher.node.runtime.RoutingState
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * The metrics of one node; docs/operators/alerts.md tells their names and thresholds.
 *
 * Nothing is shared between the nodes of one process. Meters are made once, so that counting a call neither builds names nor locks.
 */
public class NodeMetrics(
    routing: RoutingState,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val routesByRank = ConcurrentHashMap<String, ConcurrentHashMap<String, RouteMeters>>()
    private val unrouted = UnroutedMeters(registry)
    private val retriesMade = counter("celeryusher.retries", "result", "made")
    private val retriesRefused = counter("celeryusher.retries", "result", "refused")
    private val controlMeters = ControlMeters(registry)

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
        for (state in MemberState.entries) {
            gauge("celeryusher.members", "state", state.name.lowercase()) {
                routing.current.view.members
                    .count { it.state == state }
            }
        }
    }

    /** Counts a call on [route] that took [duration] and ended with an answer, or with the error [kind]. */
    public fun callEnded(
        route: RouteName,
        rank: RankName,
        kind: ErrorKind?,
        duration: Duration,
    ): Unit = metersOf(route, rank).ended(kind, duration)

    /** Counts a call that ended with [kind] before a route was found for it. */
    public fun unroutedCallEnded(kind: ErrorKind): Unit = unrouted.ended(kind)

    /** Counts a retry that was sent. */
    public fun retryMade(): Unit = retriesMade.increment()

    /** Counts a retry that the retry budget did not allow. */
    public fun retryRefused(): Unit = retriesRefused.increment()

    /** Shows what the control work knows and has cost, which [read] returns; to be called once. */
    public fun observeControl(read: () -> ControlStatus): Unit = controlMeters.observe(read)

    /** Shows the load of the guard, which [read] returns; to be called once. */
    public fun observeGuard(read: () -> GuardLoad) {
        gauge("celeryusher.guard.calls", "state", "running") { read().running }
        gauge("celeryusher.guard.calls", "state", "queued") { read().queued }
        gauge("celeryusher.guard.limit") { read().limit }
    }

    /** Shows how many requests are quarantined, which [read] returns; to be called once. */
    public fun observeQuarantine(read: () -> Int): Unit = gauge("celeryusher.quarantine.requests") { read() }

    /** Removes the meters of all routes that [snapshot] does not have; to be called when it is put in force. */
    public fun configurationTaken(snapshot: ConfigurationSnapshot) {
        for (routesOfRank in routesByRank.values) {
            val gone = routesOfRank.values.filter { snapshot.route(it.route)?.rank != it.rank }
            gone.forEach { meters ->
                routesOfRank.remove(meters.route.value)
                meters.remove()
            }
        }
    }

    /** Returns how often calls ended, by route, rank and outcome; outcomes that did not occur are left out. */
    public fun callCounts(): List<CallCount> {
        val routes = routesByRank.values.flatMap { it.values }.sortedBy(RouteMeters::route)
        return routes.flatMap(RouteMeters::counts) + unrouted.counts()
    }

    /** Returns all metrics in the text format of Prometheus. */
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
}
