package org.celeryusher.node.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.ExplainedSetting
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.configuration.SettingOrigin
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.node.admin.Explanation
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Prints the settings in force at one place of the fleet, each with its origin. */
public class ExplainCommand : Command {
    override val name: String get() = "explain"
    override val summary: String get() = "Prints the settings in force at an instance, and where each comes from."

    /** The options of `celeryusher explain`: a document and a place, or the admin address of a node. */
    public class Options : CommonOptions() {
        /** The path of the document. */
        @field:Argument(metaVar = "FILE", usage = "the configuration document, a JSON file (or use --node)")
        public var file: String? = null

        /** The admin address of the node whose settings are explained. */
        @field:Option(name = "--node", metaVar = "HOST:PORT", usage = "read from this node's admin address instead of a file")
        public var node: String? = null

        /** The instance whose settings are explained. */
        @field:Option(name = "--instance", metaVar = "I", usage = "the instance (with FILE)")
        public var instance: String? = null

        /** The service of the instance. */
        @field:Option(name = "--service", metaVar = "S", usage = "its service (with FILE)")
        public var service: String? = null

        /** The data centre of the instance. */
        @field:Option(name = "--data-centre", metaVar = "D", usage = "its data centre (with FILE)")
        public var dataCentre: String? = null

        /** The route whose settings are explained. */
        @field:Option(name = "--route", metaVar = "R", usage = "a route; without it, the settings that apply to no particular route")
        public var route: String? = null
    }

    private sealed interface Failure {
        val status: ExitStatus
        val lines: List<String>

        data class Usage(
            override val lines: List<String>,
        ) : Failure {
            override val status: ExitStatus get() = ExitStatus.USAGE
        }

        data class Execution(
            override val lines: List<String>,
        ) : Failure {
            override val status: ExitStatus get() = ExitStatus.FAILURE
        }
    }

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        withOptions(this, Options(), arguments, output) { options ->
            findExplanation(options).fold(
                { failure ->
                    failure.lines.forEach { output.error.println("celeryusher explain: ${printableLine(it)}") }
                    failure.status
                },
                { explanation ->
                    print(explanation, output)
                    ExitStatus.OK
                },
            )
        }

    private fun findExplanation(options: Options): Either<Failure, Explanation> {
        val file = options.file
        val node = options.node
        return when {
            file != null && node != null -> usage("give FILE or --node, not both")
            file != null -> explainFile(file, options)
            node != null -> explainNode(node, options)
            else -> usage("give FILE or --node HOST:PORT")
        }
    }

    private fun explainNode(
        node: String,
        options: Options,
    ): Either<Failure, Explanation> {
        val given = placeOptions(options).filter { it.second != null }
        if (given.isNotEmpty()) {
            return usage(
                "${given.joinToString { it.first }}: a node explains only its own settings; give FILE for those of another",
            )
        }
        val parameters = options.route?.let { mapOf("route" to it) }.orEmpty()
        return parseNodeAddress(node).mapLeft { Failure.Usage(listOf(it)) }.flatMap { address ->
            AdminClient(address).read("/explain", parameters, Explanation.serializer()).mapLeft { Failure.Execution(listOf(it)) }
        }
    }

    private fun explainFile(
        file: String,
        options: Options,
    ): Either<Failure, Explanation> {
        val instance = options.instance
        val service = options.service
        val dataCentre = options.dataCentre
        if (instance == null || service == null || dataCentre == null) {
            return usage("${placeOptions(options).filter { it.second == null }.joinToString { it.first }} must be given with FILE")
        }
        val place = FleetPlace(DataCentreName(dataCentre), ServiceName(service), InstanceName(instance), options.route?.let(::RouteName))
        return snapshotIn(file).flatMap { snapshot -> explain(snapshot, place) }
    }

    private fun snapshotIn(file: String): Either<Failure, ConfigurationSnapshot> =
        DocumentFile.read(file).mapLeft { Failure.Usage(listOf(it)) }.flatMap { bytes ->
            ConfigurationParser.parse(bytes).mapLeft { faults -> Failure.Execution(faults.map { "$file: $it" }) }
        }

    private fun explain(
        snapshot: ConfigurationSnapshot,
        place: FleetPlace,
    ): Either<Failure, Explanation> {
        val route = place.route
        return when {
            snapshot.service(place.service) == null -> usage("--service: \"${place.service}\" is not a service of the document")
            route != null && snapshot.route(route) == null -> usage("--route: \"$route\" is not a route of the document")
            else -> Explanation.of(snapshot, place).right()
        }
    }

    private fun placeOptions(options: Options): List<Pair<String, String?>> =
        listOf("--instance" to options.instance, "--service" to options.service, "--data-centre" to options.dataCentre)

    private fun usage(line: String): Either<Failure, Nothing> = Failure.Usage(listOf(line)).left()

    private fun print(
        explanation: Explanation,
        output: CommandOutput,
    ) {
        val route = explanation.route?.let { ", route $it" }.orEmpty()
        val place = "${explanation.instance} (service ${explanation.service}, data centre ${explanation.dataCentre}$route)"
        output.standard.println(printableLine("version ${explanation.version} at $place"))
        if (explanation.allowedRegions.isNotEmpty()) {
            output.standard.println(printableLine("only servers in the regions ${explanation.allowedRegions.joinToString()} get its calls"))
        }
        val rows = explanation.settings.map { listOf(it.name, it.value, describeOrigin(it)) }
        TextTable(listOf("setting", "value", "origin"), rows).lines().forEach(output.standard::println)
    }

    private fun describeOrigin(setting: ExplainedSetting): String =
        when (val origin = setting.origin) {
            is SettingOrigin.Default -> "default"
            is SettingOrigin.Route -> "route ${origin.name}"
            is SettingOrigin.Exception -> "exception ${origin.name}: ${origin.reason}"
        }
}
