package org.celeryusher.node.command

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.node.runtime.Node
import org.celeryusher.node.settings.NodeSettings
import org.celeryusher.node.settings.NodeSettingsReader
import org.celeryusher.node.settings.SettingsChangeDetector
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Runs one node until the process receives a signal to stop. */
public class NodeCommand : Command {
    override val name: String get() = "node"
    override val summary: String get() = "Runs the node beside a backend server until SIGTERM."

    /** The options of `celeryusher node`. */
    public class Options : CommonOptions() {
        /** The path of the settings file. */
        @field:Option(name = "--settings", metaVar = "FILE", required = true, usage = "the node's settings, a JSON file")
        public var settings: String = ""

        /** Whether to print the effective settings instead of running the node. */
        @field:Option(name = "--print-settings", usage = "print the effective settings and exit")
        public var printSettings: Boolean = false
    }

    private val signals = LinkedBlockingQueue<String>()

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus {
        // Without a handler, SIGHUP would terminate the JVM. It can arrive as soon as the process exists.
        sun.misc.Signal.handle(sun.misc.Signal("HUP")) { signals.offer("SIGHUP") }
        return withOptions(this, Options(), arguments, output) { options ->
            System.setProperty(LOG_STREAM_PROPERTY, "System.out")
            NodeSettingsReader.read(Path.of(options.settings)).fold(
                { faults ->
                    faults.forEach { output.error.println("celeryusher node: ${options.settings}: $it") }
                    ExitStatus.USAGE
                },
                { settings ->
                    settings.warnings.forEach { output.error.println("celeryusher node: ${options.settings}: ignoring $it") }
                    if (options.printSettings) {
                        output.standard.println(NodeSettingsReader.encodeRedacted(settings))
                        ExitStatus.OK
                    } else {
                        runUntilStopped(Node(settings), settings, Path.of(options.settings), output)
                    }
                },
            )
        }
    }

    private fun runUntilStopped(
        node: Node,
        settings: NodeSettings,
        file: Path,
        output: CommandOutput,
    ): ExitStatus {
        val hasStarted = CompletableDeferred<Boolean>()
        // SIGTERM can arrive while the node starts and already has calls.
        Runtime.getRuntime().addShutdownHook(
            Thread {
                if (runBlocking { stopOnceStarted(node, hasStarted) }) {
                    // Otherwise the JVM would report the signal as a failure, but a graceful shutdown is a success.
                    Runtime.getRuntime().halt(ExitStatus.OK.code)
                }
            },
        )
        try {
            runBlocking { node.start() }
            hasStarted.complete(true)
        } catch (error: IOException) {
            hasStarted.complete(false)
            runBlocking { node.halt() }
            output.error.println("celeryusher node: cannot listen at ${addressesOf(node)}: ${error.message}")
            return ExitStatus.FAILURE
        }
        output.error.println("celeryusher node: ${node.settings.instance} accepts calls at ${node.settings.addresses.callers}")
        checkSettingsUntilStopped(SettingsChangeDetector(file, settings))
        return ExitStatus.OK
    }

    /** Stops [node] and returns true, or returns false if its start has failed. */
    private suspend fun stopOnceStarted(
        node: Node,
        hasStarted: Deferred<Boolean>,
    ): Boolean {
        if (withTimeoutOrNull(START_LIMIT) { hasStarted.await() } == false) return false
        node.stop()
        return true
    }

    private fun checkSettingsUntilStopped(detector: SettingsChangeDetector) {
        while (true) {
            val signal = signals.poll(SETTINGS_POLL_SECONDS, TimeUnit.SECONDS)
            detector.check(signal)
        }
    }

    private companion object {
        const val LOG_STREAM_PROPERTY = "celeryusher.log.stream"

        /** The settings file may change without a signal. The poll may be slow because no change takes effect before the next start. */
        const val SETTINGS_POLL_SECONDS = 5L

        /** How long a stop waits for the end of the start. */
        val START_LIMIT = 1.seconds
    }

    private fun addressesOf(node: Node): String = with(node.settings.addresses) { listOf(callers, control, frames, admin).joinToString() }
}
