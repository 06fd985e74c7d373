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

/** Runs a platform stand-in (`standin platform`) or a backend server stand-in (`standin server`) until the process is terminated. */
public class StandInCommand : Command {
    override val name: String get() = "standin"
    override val summary: String get() = "Runs a stand-in: standin platform, or standin server."

    /** The options of `celeryusher standin platform`. */
    public class PlatformCommandOptions : CommonOptions() {
        /** Port for readers. */
        @field:Option(name = "--port", metaVar = "PORT", usage = "port for readers, 0 for a free port")
        public var port: Int = 0

        /** Port for operators. */
        @field:Option(name = "--operator-port", metaVar = "PORT", usage = "port for operators, 0 for a free port")
        public var operatorPort: Int = 0

        /** File of a configuration document to publish at the start. */
        @field:Option(name = "--configuration", metaVar = "FILE", usage = "configuration document to publish at the start")
        public var configuration: String? = null

        /** Maximum number of calls per second. */
        @field:Option(name = "--calls-per-second", metaVar = "N", usage = "maximum calls per second; further calls get status 429")
        public var callsPerSecond: Int = 2_000

        /** Delay after which readers see a change of the instance list, in milliseconds. */
        @field:Option(name = "--list-lag-milliseconds", metaVar = "N", usage = "delay before readers see a change of the instance list")
        public var listLagMilliseconds: Long = 0
    }

    /** The options of `celeryusher standin server`. */
    public class ServerCommandOptions : CommonOptions() {
        /** Name of the instance. */
        @field:Option(name = "--instance", metaVar = "NAME", usage = "name of the instance, sent with each answer")
        public var instance: String = "standin-1"

        /** Port for calls. */
        @field:Option(name = "--port", metaVar = "PORT", usage = "port for calls, 0 for a free port")
        public var port: Int = 0

        /** Port for operators. */
        @field:Option(name = "--operator-port", metaVar = "PORT", usage = "port for operators, 0 for a free port")
        public var operatorPort: Int = 0

        /** Maximum number of calls that run concurrently. */
        @field:Option(name = "--slots", metaVar = "N", usage = "maximum number of calls that run concurrently")
        public var slots: Int = 6

        /** Maximum number of open connections. */
        @field:Option(name = "--connections", metaVar = "N", usage = "maximum number of open connections")
        public var connections: Int = 130

        /** Service time of each call in milliseconds. */
        @field:Option(name = "--service-milliseconds", metaVar = "N", usage = "service time of each call")
        public var serviceMilliseconds: Long = 5

        /** Text in a request that crashes the server, or null for none. */
        @field:Option(name = "--crash-marker", metaVar = "TEXT", usage = "a request that contains this text crashes the server")
        public var crashMarker: String? = null

        /** Time from a crash to the restart in milliseconds. */
        @field:Option(name = "--restart-milliseconds", metaVar = "N", usage = "time from a crash to the restart")
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
            output.error.println("celeryusher standin: file \"${error.file}\" does not exist")
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
        const val USAGE = "usage: celeryusher standin platform|server [options]   (use --help after platform or server to list the options)"
    }
}
