package org.celeryusher.standin.measure

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.celeryusher.kernel.identity.Address
import org.celeryusher.standin.fleet.DeploymentShape
import org.celeryusher.standin.fleet.FleetInstance
import org.celeryusher.standin.fleet.LocalFleet
import org.celeryusher.standin.load.CallOutcome
import org.celeryusher.standin.load.Caller
import org.celeryusher.standin.load.CallerRequest
import org.celeryusher.standin.report.TextTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Latencies of calls that reach a backend server by one path. */
@Serializable
public data class LatencyRow(
    public val way: String,
    public val calls: Long,
    public val failed: Long,
    public val p50Microseconds: Long,
    public val p99Microseconds: Long,
    /** Difference from the direct path at the 50th percentile. */
    public val addedP50Microseconds: Long,
    /** Difference from the direct path at the 99th percentile. */
    public val addedP99Microseconds: Long,
)

/** Results of `measure latency`. */
@Serializable
public data class LatencyReport(
    public val deployment: String,
    public val rows: List<LatencyRow>,
) : MeasurementReport {
    override fun table(): String {
        val table = TextTable(listOf("way", "calls", "failed", "p50 µs", "p99 µs", "added p50 µs", "added p99 µs"))
        for (row in rows) {
            table.addRow(
                row.way,
                row.calls,
                row.failed,
                row.p50Microseconds,
                row.p99Microseconds,
                row.addedP50Microseconds,
                row.addedP99Microseconds,
            )
        }
        return "$deployment, one call at a time\n$table"
    }
}

/**
 * Measures in one run the latency that one and two nodes add to a direct call.
 *
 * Each service has one backend server and one node, and the service time is 0. The paths alternate in batches, so that disturbances affect
 * all of them.
 */
internal class LatencyMeasurement(
    private val shape: DeploymentShape,
    private val callsPerPath: Int,
) {
    private val fleet =
        LocalFleet(
            shape.copy(
                services = shape.services.map { it.copy(servers = 1) },
                calls = shape.calls.map { it.copy(serviceTime = Duration.ZERO) },
            ),
        )

    suspend fun run(): LatencyReport {
        check(fleet.start()) { "not all nodes started with a configuration in force" }
        val caller = Caller()
        val paths = paths()
        repeat(WARM_UP_ROUNDS) { paths.forEach { path -> path.send(caller, CALLS_PER_BATCH, record = false) } }
        repeat(callsPerPath / CALLS_PER_BATCH) { paths.forEach { path -> path.send(caller, CALLS_PER_BATCH, record = true) } }
        caller.close()
        fleet.stop()
        val direct = paths.first()
        return LatencyReport(shape.name, paths.map { it.row(direct) })
    }

    private fun paths(): List<CallPath> {
        val route = shape.document.routes.first { route -> route.idempotent && shape.calls.any { it.path == route.pathPrefix } }
        val target = "${route.pathPrefix}/7"
        val owner = fleet.instances.first { it.node.settings.service == route.service }
        val other = fleet.instances.first { it.node.settings.service != route.service }
        return listOf(
            CallPath("direct", owner.server.address, target),
            CallPath("through the server's own node", callerAddressOf(owner), target),
            CallPath("through two nodes", callerAddressOf(other), target),
        )
    }

    private fun callerAddressOf(instance: FleetInstance): Address = instance.node.settings.addresses.callers

    private class CallPath(
        private val name: String,
        private val address: Address,
        private val target: String,
    ) {
        private val histogram = Histogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        private var failed = 0L

        suspend fun send(
            caller: Caller,
            calls: Int,
            record: Boolean,
        ) {
            repeat(calls) {
                val outcome = caller.call(address, CallerRequest("GET", target, DEADLINE))
                if (record) recordOutcome(outcome)
            }
        }

        private fun recordOutcome(outcome: CallOutcome) {
            if (outcome is CallOutcome.Answered) histogram.recordValue(outcome.latency.inWholeMicroseconds) else failed++
        }

        fun row(direct: CallPath): LatencyRow =
            LatencyRow(
                way = name,
                calls = histogram.totalCount,
                failed = failed,
                p50Microseconds = percentile(MEDIAN),
                p99Microseconds = percentile(TAIL),
                addedP50Microseconds = percentile(MEDIAN) - direct.percentile(MEDIAN),
                addedP99Microseconds = percentile(TAIL) - direct.percentile(TAIL),
            )

        private fun percentile(percentile: Double): Long = histogram.getValueAtPercentile(percentile)
    }

    private companion object {
        const val CALLS_PER_BATCH = 50
        const val WARM_UP_ROUNDS = 20
        const val HIGHEST_MICROSECONDS = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        val DEADLINE = 500.milliseconds
    }
}
