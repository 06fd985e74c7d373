package org.celeryusher.standin.command

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.node.command.Command
import org.celeryusher.node.command.CommandOutput
import org.celeryusher.node.command.CommonOptions
import org.celeryusher.node.command.ExitStatus
import org.celeryusher.node.command.withOptions
import org.celeryusher.standin.platform.PlatformOperatorEndpoint
import org.celeryusher.standin.platform.PlatformOptions
import org.celeryusher.standin.platform.PlatformStandIn
import org.celeryusher.standin.server.BackendServerOperatorEndpoint
import org.celeryusher.standin.server.BackendServerProfile
import org.celeryusher.standin.server.BackendServerStandIn
import org.celeryusher.standin.server.ServiceTime
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds

/** Runs one stand-in, `standin platform` or `standin server`, until the process is told to stop. */
public class StandInCommand : Command {
    override val name: String get() = "standin"
    override val summary: String get() = "Runs a stand-in: standin platform, or standin server."

    /** The options of `celeryusher standin platform`. */
    public class PlatformCommandOptions : CommonOptions() {
        /** The readers' port. */
        @field:Option(name = "--port", metaVar = "PORT", usage = "the readers' port, 0 for a free one")
        public var port: Int = 0

        /** The operators' port. */
        @field:Option(name = "--operator-port", metaVar = "PORT", usage = "the operators' port, 0 for a free one")
        public var operatorPort: Int = 0

        /** A document to publish at the start. */
        @field:Option(name = "--configuration", metaVar = "FILE", usage = "a configuration document to publish at the start")
        public var configuration: String? = null

        /** The cap on calls. */
        @field:Option(name = "--calls-per-second", metaVar = "N", usage = "calls beyond this rate are answered with 429")
        public var callsPerSecond: Int = 2_000

        /** The lag of the instance list. */
        @field:Option(name = "--list-lag-milliseconds", metaVar = "N", usage = "how long a change of the instance list stays invisible")
        public var listLagMilliseconds: Long = 0
    }

    /** The options of `celeryusher standin server`. */
    public class ServerCommandOptions : CommonOptions() {
        /** The instance. */
        @field:Option(name = "--instance", metaVar = "NAME", usage = "the instance's name, sent with each answer")
        public var instance: String = "standin-1"

        /** The port for calls. */
        @field:Option(name = "--port", metaVar = "PORT", usage = "the port for calls, 0 for a free one")
        public var port: Int = 0

        /** The operators' port. */
        @field:Option(name = "--operator-port", metaVar = "PORT", usage = "the operators' port, 0 for a free one")
        public var operatorPort: Int = 0

        /** The slots. */
        @field:Option(name = "--slots", metaVar = "N", usage = "how many calls run at a time")
        public var slots: Int = 6

        /** The connections. */
        @field:Option(name = "--connections", metaVar = "N", usage = "how many connections are kept")
        public var connections: Int = 130

        /** The service time. */
        @field:Option(name = "--service-milliseconds", metaVar = "N", usage = "how long each call runs")
        public var serviceMilliseconds: Long = 5

        /** The text that crashes it. */
        @field:Option(name = "--crash-marker", metaVar = "TEXT", usage = "a request that holds this text crashes the server")
        public var crashMarker: String? = null

        /** The restart time. */
        @field:Option(name = "--restart-milliseconds", metaVar = "N", usage = "how long after a crash the server starts again")
        public var restartMilliseconds: Long = 1_000
    }

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus {
        val rest = arguments.drop(1)
        return when (val kind = arguments.firstOrNull()) {
            "platform" -> {
                withOptions(this, PlatformCommandOptions(), rest, output) { runPlatform(it, output) }
            }

            "server" -> {
                withOptions(this, ServerCommandOptions(), rest, output) { runServer(it, output) }
            }

            "--help", "-h" -> {
                output.standard.println(USAGE)
                ExitStatus.OK
            }

            else -> {
                output.error.println("celeryusher standin: \"${kind.orEmpty()}\" is not a stand-in")
                output.error.println(USAGE)
                ExitStatus.USAGE
            }
        }
    }

    private fun runPlatform(
        options: PlatformCommandOptions,
        output: CommandOutput,
    ): ExitStatus {
        val platform =
            PlatformStandIn(
                PlatformOptions(
                    port = options.port,
                    callsPerSecond = options.callsPerSecond,
                    instanceListLag = options.listLagMilliseconds.milliseconds,
                ),
            )
        try {
            options.configuration?.let { platform.publish(Files.readAllBytes(Path.of(it))) }
        } catch (error: NoSuchFileException) {
            output.error.println("celeryusher standin: there is no file \"${error.file}\"")
            return ExitStatus.USAGE
        }
        val operators = PlatformOperatorEndpoint(platform.start()).start(options.operatorPort)
        output.standard.println("""{"platform":"${platform.address}","operators":"$operators"}""")
        return waitForStop(output)
    }

    private fun runServer(
        options: ServerCommandOptions,
        output: CommandOutput,
    ): ExitStatus {
        val profile =
            BackendServerProfile(
                slots = options.slots,
                connections = options.connections,
                defaultServiceTime = ServiceTime.Fixed(options.serviceMilliseconds.milliseconds),
                crashMarkers = listOfNotNull(options.crashMarker),
                restartAfter = options.restartMilliseconds.milliseconds,
            )
        val server = BackendServerStandIn(InstanceName(options.instance), profile, port = options.port).start()
        val operators = BackendServerOperatorEndpoint(server).start(options.operatorPort)
        output.standard.println("""{"server":"${server.address}","operators":"$operators"}""")
        return waitForStop(output)
    }

    private fun waitForStop(output: CommandOutput): ExitStatus {
        output.standard.flush()
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread(stopped::countDown))
        stopped.await()
        return ExitStatus.OK
    }

    private companion object {
        const val USAGE = "usage: celeryusher standin platform|server [options]   (--help after the kind tells its options)"
    }
}
