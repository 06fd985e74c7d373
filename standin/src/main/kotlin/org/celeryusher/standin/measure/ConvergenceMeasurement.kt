package org.celeryusher.standin.measure

import com.sun.management.OperatingSystemMXBean
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.celeryusher.kernel.configuration.ConfigurationDocument
import org.celeryusher.node.settings.ControlSettings
import org.celeryusher.standin.fleet.DeploymentShape
import org.celeryusher.standin.fleet.FleetInstance
import org.celeryusher.standin.fleet.LocalFleet
import org.celeryusher.standin.report.TextTable
import java.lang.management.ManagementFactory
import java.util.Locale
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Convergence times and idle cost of one fleet. */
@Serializable
public data class ConvergenceRow(
    public val way: String,
    public val nodes: Int,
    public val changes: Int,
    /** Number of changes that were not in force on every node within the limit. */
    public val missed: Int,
    /** Time from the publication until a node has the version in force: percentiles over all nodes and changes. */
    public val nodeP50Milliseconds: Double,
    public val nodeP99Milliseconds: Double,
    /** Time from the publication until the last node has the version in force: maximum over all changes. */
    public val allMilliseconds: Double,
    /** Platform calls per second of the whole fleet while nothing changes. */
    public val idlePlatformCallsPerSecond: Double,
    public val idlePlatformCallsMaximumPerSecond: Long,
    /** CPU time of the whole process per second while nothing changes, divided by the number of nodes. */
    public val idleProcessorMillisecondsPerNodeAndSecond: Double,
    /** Control messages that a node sends and receives per second while nothing changes. Requests and responses count separately. */
    public val idleMessagesPerNodeAndSecond: Double,
    /** Bytes of control messages, including headers, that a node sends and receives per second while nothing changes. */
    public val idleBytesPerNodeAndSecond: Double,
)

/** Results of `measure convergence`. */
@Serializable
public data class ConvergenceReport(
    public val deployment: String,
    public val rows: List<ConvergenceRow>,
) : MeasurementReport {
    override fun table(): String {
        val table =
            TextTable(
                listOf(
                    "way",
                    "nodes",
                    "changes",
                    "missed",
                    "node p50 ms",
                    "node p99 ms",
                    "all ms",
                    "idle calls/s",
                    "idle cpu ms/node/s",
                    "messages/node/s",
                    "bytes/node/s",
                ),
            )
        for (row in rows) {
            table.addRow(
                row.way,
                row.nodes,
                row.changes,
                row.missed,
                decimal(row.nodeP50Milliseconds),
                decimal(row.nodeP99Milliseconds),
                decimal(row.allMilliseconds),
                decimal(row.idlePlatformCallsPerSecond),
                decimal(row.idleProcessorMillisecondsPerNodeAndSecond),
                decimal(row.idleMessagesPerNodeAndSecond),
                decimal(row.idleBytesPerNodeAndSecond),
            )
        }
        return "$deployment, configuration changes\n$table"
    }

    private fun decimal(number: Double): String = String.format(Locale.ROOT, "%.2f", number)
}

/** Measures how fast configuration changes come into force on fleets of several sizes, and the idle cost for the platform and the nodes. */
internal class ConvergenceMeasurement(
    private val shape: DeploymentShape,
    private val sizes: List<Int>,
    private val changes: Int,
    private val reportProgress: (String) -> Unit,
) {
    suspend fun run(): ConvergenceReport =
        ConvergenceReport(
            shape.name,
            sizes.flatMap { size ->
                listOf(
                    measure(BASELINE, size, ControlSettings(readsPlatformAlone = true)),
                    measure(PRODUCT, size, ControlSettings()),
                )
            },
        )

    private suspend fun measure(
        way: String,
        size: Int,
        control: ControlSettings,
    ): ConvergenceRow {
        reportProgress("$size nodes, $way")
        val fleet = LocalFleet(shape.scaledTo(size), control)
        check(fleet.start(START_LIMIT)) { "not all of the $size nodes started with a configuration in force" }
        val idle = idleCost(fleet)
        val histogram = Histogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        var slowest = 0.0
        var missed = 0
        repeat(changes) { change ->
            val times = publishAndMeasure(fleet, withChange(fleet.shape.document, FIRST_CHANGE + change))
            times.filterNotNull().forEach { histogram.recordValue(it) }
            if (null in times) missed++
            slowest = maxOf(slowest, times.maxOf { it ?: CONVERGENCE_LIMIT.inWholeMicroseconds } / MICROSECONDS_PER_MILLISECOND)
            delay(PAUSE_BETWEEN_CHANGES)
        }
        fleet.stop()
        return ConvergenceRow(
            way = way,
            nodes = size,
            changes = changes,
            missed = missed,
            nodeP50Milliseconds = histogram.getValueAtPercentile(50.0) / MICROSECONDS_PER_MILLISECOND,
            nodeP99Milliseconds = histogram.getValueAtPercentile(99.0) / MICROSECONDS_PER_MILLISECOND,
            allMilliseconds = slowest,
            idlePlatformCallsPerSecond = idle.platformCallsPerSecond,
            idlePlatformCallsMaximumPerSecond = idle.platformCallsMaximum,
            idleProcessorMillisecondsPerNodeAndSecond = idle.processorMillisecondsPerNode,
            idleBytesPerNodeAndSecond = idle.bytesPerNode,
            idleMessagesPerNodeAndSecond = idle.messagesPerNode,
        )
    }

    /** Publishes [document] and returns for each node the microseconds until it was in force, or null if the limit passed first. */
    private suspend fun publishAndMeasure(
        fleet: LocalFleet,
        document: ConfigurationDocument,
    ): List<Long?> =
        coroutineScope {
            val start = TimeSource.Monotonic.markNow()
            fleet.platform.publish(document)
            fleet.inUse
                .chunked(NODES_PER_POLLER)
                .map { nodes -> async { convergenceTimes(nodes, document.version, start) } }
                .awaitAll()
                .flatten()
        }

    private suspend fun convergenceTimes(
        nodes: List<FleetInstance>,
        version: Long,
        start: TimeSource.Monotonic.ValueTimeMark,
    ): List<Long?> {
        val times = arrayOfNulls<Long>(nodes.size)
        while (times.any { it == null } && start.elapsedNow() < CONVERGENCE_LIMIT) {
            for ((index, node) in nodes.withIndex()) {
                if (times[index] == null && node.version == version) times[index] = start.elapsedNow().inWholeMicroseconds
            }
            delay(POLL_INTERVAL)
        }
        return times.toList()
    }

    private suspend fun idleCost(fleet: LocalFleet): IdleCost {
        delay(SETTLING_TIME)
        val calls = fleet.platform.counts.total
        val traffic = trafficOf(fleet)
        val processor = processorNanoseconds()
        val start = TimeSource.Monotonic.markNow()
        delay(IDLE_PERIOD)
        val seconds = start.elapsedNow().inWholeMilliseconds / MILLISECONDS_PER_SECOND
        val processorMilliseconds = (processorNanoseconds() - processor) / NANOSECONDS_PER_MILLISECOND
        val after = trafficOf(fleet)
        return IdleCost(
            bytesPerNode = (after.bytes - traffic.bytes) / seconds / fleet.instances.size,
            messagesPerNode = (after.messages - traffic.messages) / seconds / fleet.instances.size,
            platformCallsPerSecond = (fleet.platform.counts.total - calls) / seconds,
            platformCallsMaximum = fleet.platform.counts.maximumPerSecond,
            processorMillisecondsPerNode = processorMilliseconds / seconds / fleet.instances.size,
        )
    }

    private fun withChange(
        document: ConfigurationDocument,
        version: Long,
    ): ConfigurationDocument =
        document.copy(version = version, defaults = document.defaults.copy(quarantineMilliseconds = 600_000 + version))

    private fun processorNanoseconds(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as? OperatingSystemMXBean)?.processCpuTime
            ?: error("this JVM does not report the CPU time of the process")

    private fun trafficOf(fleet: LocalFleet): Traffic {
        val counts =
            fleet.instances.map {
                it.node.control
                    .status()
                    .traffic
            }
        return Traffic(counts.sumOf { it.bytesIn + it.bytesOut }, counts.sumOf { it.messagesIn + it.messagesOut })
    }

    /** Bytes and messages that all nodes have sent and received. */
    private class Traffic(
        val bytes: Long,
        val messages: Long,
    )

    private class IdleCost(
        val bytesPerNode: Double,
        val messagesPerNode: Double,
        val platformCallsPerSecond: Double,
        val platformCallsMaximum: Long,
        val processorMillisecondsPerNode: Double,
    )

    private companion object {
        const val BASELINE = "each node watches the platform (baseline)"
        const val PRODUCT = "celeryusher"
        const val FIRST_CHANGE = 2L
        const val NODES_PER_POLLER = 50
        const val HIGHEST_MICROSECONDS = 120_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0
        val START_LIMIT = 60.seconds
        val CONVERGENCE_LIMIT = 20.seconds
        val POLL_INTERVAL = 2.milliseconds
        val PAUSE_BETWEEN_CHANGES = 1_500.milliseconds
        val SETTLING_TIME = 15.seconds
        val IDLE_PERIOD = 10.seconds
    }
}
