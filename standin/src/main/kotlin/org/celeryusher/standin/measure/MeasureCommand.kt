package org.celeryusher.standin.measure

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.celeryusher.node.command.Command
import org.celeryusher.node.command.CommandOutput
import org.celeryusher.node.command.CommonOptions
import org.celeryusher.node.command.ExitStatus
import org.celeryusher.node.command.withOptions
import org.celeryusher.standin.fleet.DeploymentShape
import org.celeryusher.standin.fleet.prepareForManyNodes
import org.celeryusher.standin.report.quietLogs
import org.kohsuke.args4j.Option

/** Measures real nodes with backend server stand-ins on loopback, compared with a baseline in the same run. */
public class MeasureCommand : Command {
    override val name: String get() = "measure"
    override val summary: String get() = "Measures real nodes on loopback: measure convergence|latency."

    /** The options of `celeryusher measure`. */
    public class Options : CommonOptions() {
        /** Name of the deployment. */
        @field:Option(name = "--deployment", metaVar = "NAME", usage = "antwerp or sierra")
        public var deployment: String = "antwerp"

        /** Comma-separated fleet sizes. */
        @field:Option(name = "--nodes", metaVar = "N,N", usage = "convergence: fleet sizes, comma-separated")
        public var nodes: String = "13,25,50"

        /** Number of changes per fleet. */
        @field:Option(name = "--changes", metaVar = "N", usage = "convergence: number of changes published to each fleet")
        public var changes: Int = 5

        /** Number of calls per path. */
        @field:Option(name = "--calls", metaVar = "N", usage = "latency: number of calls by each path")
        public var calls: Int = 1_500

        /** Whether to print the report as JSON. */
        @field:Option(name = "--json", usage = "print the report as JSON")
        public var json: Boolean = false
    }

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus {
        val subject = arguments.firstOrNull()
        if (subject == "--help" || subject == "-h") return withOptions(this, Options(), arguments, output) { ExitStatus.OK }
        if (subject !in subjects) return usageFault(output, "\"${subject.orEmpty()}\" is not one of ${subjects.joinToString(", ")}")
        return withOptions(this, Options(), arguments.drop(1), output) { measure(subject.orEmpty(), it, output) }
    }

    private fun measure(
        subject: String,
        options: Options,
        output: CommandOutput,
    ): ExitStatus {
        val shape =
            DeploymentShape.named(options.deployment) ?: return usageFault(output, "unknown deployment \"${options.deployment}\"")
        val sizes = options.nodes.split(',').map { it.toIntOrNull() ?: 0 }
        if (sizes.any { it < shape.services.size }) return usageFault(output, "--nodes \"${options.nodes}\" is not a list of sizes")
        prepareForManyNodes()
        quietLogs()
        val reportProgress: (String) -> Unit = { output.error.println(it) }
        val report: MeasurementReport =
            runBlocking(Dispatchers.Default) {
                when (subject) {
                    "convergence" -> ConvergenceMeasurement(shape, sizes, options.changes, reportProgress).run()
                    else -> LatencyMeasurement(shape, options.calls).run()
                }
            }
        output.standard.println(if (options.json) format.encodeToString(report) else report.table())
        return ExitStatus.OK
    }

    private fun usageFault(
        output: CommandOutput,
        fault: String,
    ): ExitStatus {
        output.error.println("celeryusher measure: $fault")
        return ExitStatus.USAGE
    }

    private companion object {
        val subjects = setOf("convergence", "latency")
        val format = Json { prettyPrint = true }
    }
}
