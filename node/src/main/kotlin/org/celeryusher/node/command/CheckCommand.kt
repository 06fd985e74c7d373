package org.celeryusher.node.command

import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.kohsuke.args4j.Argument

/** Validates a whole configuration document and prints each fault on its own line. */
public class CheckCommand : Command {
    override val name: String get() = "check"
    override val summary: String get() = "Checks a configuration document and prints every fault."

    /** The options of `celeryusher check`. */
    public class Options : CommonOptions() {
        /** The path of the document. */
        @field:Argument(metaVar = "FILE", required = true, usage = "the configuration document, a JSON file")
        public var file: String = ""
    }

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        withOptions(this, Options(), arguments, output) { options ->
            DocumentFile.read(options.file).fold(
                { fault ->
                    output.error.println("celeryusher check: $fault")
                    ExitStatus.USAGE
                },
                { bytes -> check(options.file, bytes, output) },
            )
        }

    private fun check(
        file: String,
        bytes: ByteArray,
        output: CommandOutput,
    ): ExitStatus =
        ConfigurationParser.parse(bytes).fold(
            { faults ->
                faults.forEach { output.standard.println(printableLine("$file: $it")) }
                ExitStatus.FAILURE
            },
            { snapshot ->
                output.standard.println("$file: ${describe(snapshot)}")
                regionLines(snapshot).forEach { output.standard.println(printableLine("$file: $it")) }
                ExitStatus.OK
            },
        )

    private fun regionLines(snapshot: ConfigurationSnapshot): List<String> =
        snapshot.document.routes
            .filter { it.allowedRegions.isNotEmpty() }
            .map { "route ${it.name} only reaches servers in the regions ${it.allowedRegions.joinToString()}" }

    private fun describe(snapshot: ConfigurationSnapshot): String {
        val document = snapshot.document
        return "version ${document.version} is valid: ${document.services.size} services, ${document.routes.size} routes, " +
            "${document.ranks.size} ranks, ${document.exceptions.size} exceptions"
    }
}
