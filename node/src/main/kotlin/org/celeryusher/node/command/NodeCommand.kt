package org.celeryusher.node.command

import kotlinx.coroutines.runBlocking
import org.celeryusher.node.runtime.Node
import org.celeryusher.node.settings.NodeSettingsReader
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CountDownLatch

/** Runs one node until it is told to stop. */
public class NodeCommand : Command {
    override val name: String get() = "node"
    override val summary: String get() = "Runs the node beside a backend server until SIGTERM."

    /** The options of `celeryusher node`. */
    public class Options : CommonOptions() {
        /** The settings file. */
        @field:Option(name = "--settings", metaVar = "FILE", required = true, usage = "the node's settings, a JSON file")
        public var settings: String = ""

        /** Whether to print the effective settings in place of running. */
        @field:Option(name = "--print-settings", usage = "print the effective settings and end")
        public var printSettings: Boolean = false
    }

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        withOptions(this, Options(), arguments, output) { options ->
            NodeSettingsReader.read(Path.of(options.settings)).fold(
                { faults ->
                    faults.forEach { output.error.println("celeryusher node: ${options.settings}: $it") }
                    ExitStatus.USAGE
                },
                { settings ->
                    if (options.printSettings) {
                        output.standard.println(NodeSettingsReader.print(settings))
                        ExitStatus.OK
                    } else {
                        runUntilStopped(Node(settings), output)
                    }
                },
            )
        }

    private fun runUntilStopped(
        node: Node,
        output: CommandOutput,
    ): ExitStatus {
        try {
            runBlocking { node.start() }
        } catch (error: IOException) {
            runBlocking { node.stop() }
            output.error.println("celeryusher node: cannot listen at ${addressesOf(node)}: ${error.message}")
            return ExitStatus.WRONG
        }
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { node.stop() }
                stopped.countDown()
            },
        )
        output.error.println("celeryusher node: ${node.settings.instance} takes calls at ${node.settings.addresses.callers}")
        stopped.await()
        return ExitStatus.OK
    }

    private fun addressesOf(node: Node): String = with(node.settings.addresses) { listOf(callers, control, frames, admin).joinToString() }
}
