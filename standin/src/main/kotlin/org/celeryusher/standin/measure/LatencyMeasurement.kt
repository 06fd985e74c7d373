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

/** The time of calls that take one way to a backend server. */
@Serializable
public data class LatencyRow(
    public val way: String,
    public val calls: Long,
    public val failed: Long,
    public val p50Microseconds: Long,
    public val p99Microseconds: Long,
    /** What this way adds to the direct one at the 50th and the 99th percentile. */
    public val addedP50Microseconds: Long,
    public val addedP99Microseconds: Long,
)

/** What `measure latency` found. */
@Serializable
public data class LatencyReport(
    public val deployment: String,
    public val rows: List<LatencyRow>,
) : MeasurementReport {
    override fun table(): String {
        val table = TextTable(listOf("way", "calls", "failed", "p50 µs", "p99 µs", "added p50 µs", "added p99 µs"))
        for (row in rows) {
            table.row(
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
 * Measures what one and two nodes add to a call, against the direct call, in one run.
 *
 * One backend server and node for each service; service time nothing; the ways take turns so that disturbances hit all of them.
 */
internal class LatencyMeasurement(
    private val shape: DeploymentShape,
    private val callsPerWay: Int,
) {
    private val fleet =
        LocalFleet(
            shape.copy(
                services = shape.services.map { it.copy(servers = 1) },
                calls = shape.calls.map { it.copy(serviceTime = Duration.ZERO) },
            ),
        )

    suspend fun run(): LatencyReport {
        check(fleet.start()) { "the nodes did not come up with a configuration in force" }
        val caller = Caller()
        val ways = ways()
        repeat(WARM_UP_ROUNDS) { ways.forEach { way -> way.send(caller, CALLS_PER_TURN, record = false) } }
        repeat(callsPerWay / CALLS_PER_TURN) { ways.forEach { way -> way.send(caller, CALLS_PER_TURN, record = true) } }
        caller.close()
        fleet.stop()
        val direct = ways.first()
        return LatencyReport(shape.name, ways.map { it.row(direct) })
    }

    private fun ways(): List<Way> {
        val route = shape.document.routes.first { route -> route.idempotent && shape.calls.any { it.path == route.pathPrefix } }
        val target = "${route.pathPrefix}/7"
        val owner = fleet.instances.first { it.node.settings.service == route.service }
        val other = fleet.instances.first { it.node.settings.service != route.service }
        return listOf(
            Way("direct", owner.server.address, target),
            Way("through the server's own node", callersOf(owner), target),
            Way("through two nodes", callersOf(other), target),
        )
    }

    private fun callersOf(instance: FleetInstance): Address = instance.node.settings.addresses.callers

    private class Way(
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
            if (outcome is CallOutcome.Answered) histogram.recordValue(outcome.after.inWholeMicroseconds) else failed++
        }

        fun row(direct: Way): LatencyRow =
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
        const val CALLS_PER_TURN = 50
        const val WARM_UP_ROUNDS = 20
        const val HIGHEST_MICROSECONDS = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        val DEADLINE = 500.milliseconds
    }
}
