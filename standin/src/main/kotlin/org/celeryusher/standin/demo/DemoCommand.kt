package org.celeryusher.standin.demo

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
import kotlin.time.Duration.Companion.seconds

/** Runs the whole system in one process under load, changes and faults, and checks its promises. */
public class DemoCommand : Command {
    override val name: String get() = "demo"
    override val summary: String get() = "Runs a small fleet on loopback through changes and faults, and checks each promise."

    /** The options of `celeryusher demo`. */
    public class Options : CommonOptions() {
        /** Name of the deployment. */
        @field:Option(name = "--deployment", metaVar = "NAME", usage = "antwerp or sierra")
        public var deployment: String = "antwerp"

        /** Approximate duration of the load in seconds. */
        @field:Option(name = "--seconds", metaVar = "N", usage = "approximate duration of the load in seconds, at least 8")
        public var seconds: Int = 20

        /** Whether to print the report as JSON. */
        @field:Option(name = "--json", usage = "print the report as JSON")
        public var json: Boolean = false

        /** Whether to write the decision log. */
        @field:Option(name = "--log", usage = "write the decision log to standard error")
        public var log: Boolean = false
    }

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        withOptions(this, Options(), arguments, output) { options ->
            val shape = DeploymentShape.named(options.deployment)
            when {
                shape == null -> usageFault(output, "unknown deployment \"${options.deployment}\", use antwerp or sierra")
                options.seconds < SHORTEST_SECONDS -> usageFault(output, "--seconds ${options.seconds} is less than $SHORTEST_SECONDS")
                else -> runDemo(shape, options, output)
            }
        }

    private fun runDemo(
        shape: DeploymentShape,
        options: Options,
        output: CommandOutput,
    ): ExitStatus {
        prepareForManyNodes()
        if (!options.log) quietLogs()
        val run = DemoRun(shape, options.seconds.seconds) { output.error.println(it) }
        val report = runBlocking(Dispatchers.Default) { run.run() }
        output.standard.println(if (options.json) format.encodeToString(report) else DemoTable.render(report))
        return if (report.allHeld) ExitStatus.OK else ExitStatus.FAILURE
    }

    private fun usageFault(
        output: CommandOutput,
        fault: String,
    ): ExitStatus {
        output.error.println("celeryusher demo: $fault")
        return ExitStatus.USAGE
    }

    private companion object {
        const val SHORTEST_SECONDS = 8
        val format = Json { prettyPrint = true }
    }
}
