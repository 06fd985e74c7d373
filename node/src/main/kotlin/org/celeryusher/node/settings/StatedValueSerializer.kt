package org.celeryusher.node.settings

import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.JsonDecoder
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.RegionName
import kotlin.time.Duration

/**
 * Serializes a value that the platform states in a form of its choice: a JSON number, string, Boolean or null.
 *
 * A missing value, an empty text and a placeholder of a template that was not filled state nothing. A form that cannot be understood counts
 * as not stated too, because a node must start whatever its platform states; [faultOrNull] tells what is wrong with it.
 */
internal abstract class StatedValueSerializer<T : Any>(
    name: String,
    private val expected: String,
    private val parse: (String) -> T?,
) : KSerializer<T?> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("org.celeryusher.$name", PrimitiveKind.STRING)

    override fun deserialize(decoder: Decoder): T? = valueOrNull((decoder as JsonDecoder).decodeJsonElement())

    override fun serialize(
        encoder: Encoder,
        value: T?,
    ) {
        encoder.encodeString(value?.let(::format).orEmpty())
    }

    /** Returns the text that is read as [value]. */
    protected open fun format(value: T): String = value.toString()

    /** Returns why [element] is not understood, or null if it states a value or nothing. */
    fun faultOrNull(element: JsonElement): String? =
        if (isNotStated(element) || valueOrNull(element) != null) null else "$element is not $expected"

    private fun valueOrNull(element: JsonElement): T? = (element as? JsonPrimitive)?.takeUnless(::isNotStated)?.let { parse(it.content) }

    private fun isNotStated(element: JsonElement): Boolean =
        element is JsonNull ||
            element is JsonPrimitive &&
            element.content.let { it.isEmpty() || (it.startsWith("{{") && it.endsWith("}}")) }
}

internal object StatedDurationSerializer : StatedValueSerializer<Duration>(
    "StatedDuration",
    "a time greater than 0 with a unit, such as 1500ms or 2.5s",
    { text -> Duration.parseOrNull(text)?.takeIf { it.isFinite() && it.isPositive() } },
)

internal object StatedNumberSerializer : StatedValueSerializer<Double>(
    "StatedNumber",
    "a number of 0 or more, such as 1.5",
    { text -> text.toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0.0 } },
)

internal object StatedShareSerializer : StatedValueSerializer<Double>(
    "StatedShare",
    "a number between 0 and 1, such as 0.2",
    { text -> text.toDoubleOrNull()?.takeIf { it in 0.0..1.0 } },
)

/** A fraction is rounded down, so that a bound is never exceeded. */
internal object StatedCountSerializer : StatedValueSerializer<Int>(
    "StatedCount",
    "a number from 0 to ${Int.MAX_VALUE}, such as 60",
    { text -> text.toDoubleOrNull()?.takeIf { it >= 0.0 && it < Int.MAX_VALUE + 1.0 }?.toInt() },
)

internal object StatedFlagSerializer : StatedValueSerializer<Boolean>(
    "StatedFlag",
    "true or false",
    String::toBooleanStrictOrNull,
)

internal object StatedRegionsSerializer : StatedValueSerializer<Map<DataCentreName, RegionName>>(
    "StatedRegions",
    "a list of data centres with their regions, such as antwerp-1=antwerp,antwerp-2=antwerp",
    { text ->
        val pairs = text.split(',').map { it.split('=') }
        if (pairs.all { it.size == 2 && it.none(String::isBlank) }) {
            pairs.associate { (dataCentre, region) -> DataCentreName(dataCentre) to RegionName(region) }
        } else {
            null
        }
    },
) {
    override fun format(value: Map<DataCentreName, RegionName>): String = value.entries.joinToString(",")
}
