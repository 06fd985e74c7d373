package org.celeryusher.node.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import org.celeryusher.node.admin.RouteReport
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.net.URI
import java.net.URISyntaxException

/** Prints where a request would go now and why, without sending it. */
public class RouteCommand : Command {
    override val name: String get() = "route"
    override val summary: String get() = "Prints where a request to a node would go now and why, without sending it."

    /** The options of `celeryusher route`. */
    public class Options : CommonOptions() {
        /** The HTTP method of the request. */
        @field:Argument(index = 0, metaVar = "METHOD", required = true, usage = "the method of the request, such as GET")
        public var method: String = ""

        /** The URL of the request, or its path and query. */
        @field:Argument(index = 1, metaVar = "URL", required = true, usage = "its URL, or its path and query")
        public var url: String = ""

        /** The host of the request; null for that of the URL, or none. */
        @field:Option(name = "--host", metaVar = "HOST", usage = "the host that the request names; without it, that of the URL")
        public var host: String? = null

        /** The admin address of the node. */
        @field:Option(name = "--node", metaVar = "HOST:PORT", usage = "the node's admin address (127.0.0.1:7403 without it)")
        public var node: String = DEFAULT_NODE

        /** Whether to print JSON instead of tables. */
        @field:Option(name = "--json", usage = "print JSON")
        public var json: Boolean = false
    }

    private class Failure(
        val status: ExitStatus,
        val line: String,
    )

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        withOptions(this, Options(), arguments, output) { options ->
            read(options).fold(
                { failure ->
                    output.error.println("celeryusher route: ${printableLine(failure.line)}")
                    failure.status
                },
                { report ->
                    print(report, options.json, output)
                    ExitStatus.OK
                },
            )
        }

    private fun read(options: Options): Either<Failure, RouteReport> =
        parseNodeAddress(options.node)
            .flatMap { node -> parametersOf(options).map { node to it } }
            .mapLeft { Failure(ExitStatus.USAGE, it) }
            .flatMap { (node, parameters) ->
                AdminClient(node).read("/route", parameters, RouteReport.serializer()).mapLeft { Failure(ExitStatus.FAILURE, it) }
            }

    private fun parametersOf(options: Options): Either<String, Map<String, String>> {
        if (options.url.startsWith('/')) return parameters(options, options.host, options.url).right()
        val invalid = "\"${options.url}\" is neither a path that begins with / nor a URL such as http://billing/invoices"
        val url =
            try {
                URI(options.url)
            } catch (_: URISyntaxException) {
                return invalid.left()
            }
        if (url.scheme !in SCHEMES || url.rawAuthority.isNullOrEmpty()) return invalid.left()
        val target = url.rawPath.ifEmpty { "/" } + url.rawQuery?.let { "?$it" }.orEmpty()
        return parameters(options, options.host ?: url.rawAuthority, target).right()
    }

    private fun parameters(
        options: Options,
        host: String?,
        target: String,
    ): Map<String, String> = mapOf("method" to options.method, "host" to host.orEmpty(), "path" to target)

    private fun print(
        report: RouteReport,
        json: Boolean,
        output: CommandOutput,
    ): Unit =
        if (json) {
            output.standard.println(format.encodeToString(report))
        } else {
            RouteFormatter(report).lines().forEach { output.standard.println(printableLine(it)) }
        }

    private companion object {
        const val DEFAULT_NODE = "127.0.0.1:7403"
        val SCHEMES = setOf("http", "https")
        val format =
            Json {
                prettyPrint = true
                encodeDefaults = true
            }
    }
}
