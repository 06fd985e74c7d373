package org.celeryusher.node.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import org.celeryusher.kernel.configuration.JsonNesting
import org.celeryusher.kernel.identity.Address
import org.celeryusher.node.source.PlatformAdapters
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A fault in a settings file: the JSON path of the field, and a message that quotes the offending value. */
public data class SettingsFault(
    public val path: String,
    public val message: String,
) {
    override fun toString(): String = "$path: $message"
}

/** Reads and validates the settings of a node before it opens any port. */
public object NodeSettingsReader {
    private const val MINIMUM_SECRET_LENGTH = 16
    private const val MAXIMUM_FILE_BYTES = 1_048_576L
    private val ipAddressPattern = Regex("""\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*""")
    private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
    private val format = Json { prettyPrint = true }

    /** Returns the settings in [file], or every fault found in it. */
    public fun read(file: Path): Either<NonEmptyList<SettingsFault>, NodeSettings> =
        try {
            if (Files.size(file) > MAXIMUM_FILE_BYTES) {
                nonEmptyListOf(SettingsFault(file.toString(), "is larger than $MAXIMUM_FILE_BYTES bytes")).left()
            } else {
                parse(Files.readString(file))
            }
        } catch (error: IOException) {
            nonEmptyListOf(SettingsFault(file.toString(), "cannot be read: ${error.javaClass.simpleName}")).left()
        }

    /** Returns the settings in [text], or every fault found in it. */
    public fun parse(text: String): Either<NonEmptyList<SettingsFault>, NodeSettings> =
        try {
            if (!JsonNesting.isWithinLimit(text)) return nonEmptyListOf(SettingsFault("$", "is nested too deeply")).left()
            val tree = format.parseToJsonElement(text)
            val settings = format.decodeFromJsonElement<NodeSettings>(tree).copy(warnings = warningsOf(tree))
            faultsOf(settings).toNonEmptyListOrNull()?.left() ?: settings.right()
        } catch (error: SerializationException) {
            nonEmptyListOf(SettingsFault("$", firstLine(error))).left()
        }

    /** Returns [settings] in the format that [parse] reads, with the secret masked. */
    public fun encodeRedacted(settings: NodeSettings): String = format.encodeToString(NodeSettings.serializer(), settings.redacted())

    private fun warningsOf(tree: JsonElement): List<SettingsFault> {
        val fields = (tree as? JsonObject).orEmpty()
        val statements =
            statementsOf("bounds", fields, DeploymentBounds.serializers) +
                statementsOf("machine", fields, MachineLimits.serializers) +
                Triple("$.regions", fields["regions"], StatedRegionsSerializer) +
                Triple("$.firstStart", fields["firstStart"], StatedFlagSerializer)
        return statements.mapNotNull { (path, element, serializer) ->
            element?.let(serializer::faultOrNull)?.let { SettingsFault(path, it) }
        }
    }

    private fun statementsOf(
        name: String,
        fields: Map<String, JsonElement>,
        serializers: Map<String, StatedValueSerializer<*>>,
    ): List<Triple<String, JsonElement?, StatedValueSerializer<*>>> {
        val group = (fields[name] as? JsonObject).orEmpty()
        return serializers.map { (field, serializer) -> Triple("$.$name.$field", group[field], serializer) }
    }

    private fun faultsOf(settings: NodeSettings): List<SettingsFault> =
        nameFaults(settings) + addressFaults(settings) + numberFaults(settings) + secretFaults(settings) + adapterFaults(settings)

    private fun adapterFaults(settings: NodeSettings): List<SettingsFault> {
        val share = settings.guaranteedShare
        val shareFault = SettingsFault("$.guaranteedShare", "$share is not between 0 and 1").takeIf { share !in 0.0..1.0 }
        val adapter = settings.platformAdapter
        val knownAdapters = PlatformAdapters.names
        val adapterFault =
            if (adapter == null ||
                adapter in knownAdapters
            ) {
                null
            } else {
                SettingsFault("$.platformAdapter", "\"$adapter\" is not one of ${knownAdapters.joinToString()}")
            }
        val retryShare = settings.bounds.retryShare
        return listOfNotNull(shareFault, adapterFault) + settings.callerBudget.shareFaults()
    }

    private fun nameFaults(settings: NodeSettings): List<SettingsFault> =
        listOf("instance" to settings.instance.value, "service" to settings.service.value, "dataCentre" to settings.dataCentre.value)
            .filterNot { (_, name) -> namePattern.matches(name) }
            .map { (field, name) -> SettingsFault("$.$field", "\"$name\" is not a name (letters, digits, '.', '_', '-', at most 63)") }

    private fun addressFaults(settings: NodeSettings): List<SettingsFault> {
        val listening =
            listOf(
                "addresses.callers" to settings.addresses.callers,
                "addresses.control" to settings.addresses.control,
                "addresses.frames" to settings.addresses.frames,
                "addresses.admin" to settings.addresses.admin,
            )
        val remote = listOf("backendServer" to settings.backendServer, "platform" to settings.platform)
        val seeds = settings.seeds.mapIndexed { index, seed -> "seeds[$index]" to seed }
        val hostFaults =
            (listening + remote + seeds)
                .filterNot { (_, address) -> ipAddressPattern.matches(address.host) }
                .map { (field, address) -> SettingsFault("$.$field", "the host of \"$address\" is not an IP address") }
        return hostFaults + sharedPortFaults(listening)
    }

    private fun sharedPortFaults(listening: List<Pair<String, Address>>): List<SettingsFault> =
        listening
            .groupBy { (_, address) -> address.port }
            .values
            .filter { it.size > 1 }
            .map { same -> SettingsFault("$.${same[1].first}", "port ${same[1].second.port} is also the port of ${same[0].first}") }

    private fun numberFaults(settings: NodeSettings): List<SettingsFault> =
        (settings.callerBudget.positiveNumbers() + positiveNumbers(settings))
            .filter { (_, number) -> number <= 0 }
            .map { (field, number) -> SettingsFault("$.$field", "$number is not greater than 0") }

    private fun positiveNumbers(settings: NodeSettings): List<Pair<String, Long>> =
        listOf(
            "limits.maximumHeaderBytes" to settings.limits.maximumHeaderBytes.toLong(),
            "limits.maximumBodyBytes" to settings.limits.maximumBodyBytes.toLong(),
            "limits.maximumAnswerBytes" to settings.limits.maximumAnswerBytes.toLong(),
            "limits.maximumMessageBytes" to settings.limits.maximumMessageBytes.toLong(),
            "limits.maximumServerBytes" to settings.limits.maximumServerBytes,
            "limits.drainLimitMilliseconds" to settings.limits.drainLimitMilliseconds,
            "control.gossipIntervalMilliseconds" to settings.control.gossipIntervalMilliseconds,
            "control.floorWaitMilliseconds" to settings.control.floorWaitMilliseconds,
            "control.healthIntervalMilliseconds" to settings.control.healthIntervalMilliseconds,
            "control.watchMilliseconds" to settings.control.watchMilliseconds,
            "control.interDataCentreMicroseconds" to settings.control.interDataCentreMicroseconds,
            "control.leaveNoticeMilliseconds" to settings.control.leaveNoticeMilliseconds,
        )

    private fun secretFaults(settings: NodeSettings): List<SettingsFault> {
        val length = settings.fleetSecret?.length ?: return emptyList()
        return if (length >= MINIMUM_SECRET_LENGTH) {
            emptyList()
        } else {
            listOf(SettingsFault("$.fleetSecret", "has $length characters, but at least $MINIMUM_SECRET_LENGTH are required"))
        }
    }

    private fun firstLine(error: SerializationException): String =
        error.message
            .orEmpty()
            .lineSequence()
            .first()
}
