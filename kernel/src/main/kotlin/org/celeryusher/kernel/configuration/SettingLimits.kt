package org.celeryusher.kernel.configuration

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.double
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** The permitted range of each setting, and the conversion of settings to pairs of name and value. */
internal object SettingLimits {
    private const val HOUR_MILLISECONDS = 3_600_000.0
    private const val DAY_MILLISECONDS = 24 * HOUR_MILLISECONDS
    private val formatWithDefaults = Json { encodeDefaults = true }

    /** The permitted range of each setting by name, in the unit of the setting. */
    val RANGES: Map<String, ClosedFloatingPointRange<Double>> =
        mapOf(
            "deadlineMilliseconds" to 1.0..HOUR_MILLISECONDS,
            "maximumAttempts" to 1.0..10.0,
            "retryBudgetShare" to 0.0..1.0,
            "retryReserve" to 0.0..100_000.0,
            "queuedCallsPerSlot" to 1.0..1_000.0,
            "drainLimitMilliseconds" to 1.0..HOUR_MILLISECONDS,
            "slowStartMilliseconds" to 0.0..HOUR_MILLISECONDS,
            "ejectionCapShare" to 0.0..1.0,
            "quarantineMilliseconds" to 0.0..DAY_MILLISECONDS,
            "targetLatencyMilliseconds" to 1.0..HOUR_MILLISECONDS,
            "hedgeShare" to 0.0..1.0,
            "runRefusalShare" to 0.0..1.0,
        )

    /** The names of all settings, in declaration order. */
    @OptIn(ExperimentalSerializationApi::class)
    val NAMES: List<String> = FleetSettings.serializer().descriptor.let { (0 until it.elementsCount).map(it::getElementName) }

    /** Returns the values of all [settings] by name. */
    fun valuesOf(settings: FleetSettings): Map<String, JsonPrimitive> =
        primitives(formatWithDefaults.encodeToJsonElement(FleetSettings.serializer(), settings).jsonObject)

    /** Returns the values that [change] sets, by name. */
    fun valuesOf(change: SettingsChange): Map<String, JsonPrimitive> =
        primitives(Json.encodeToJsonElement(SettingsChange.serializer(), change).jsonObject)

    /** Reports each of [values], the members of the object at [path], that is out of range. */
    fun check(
        values: Map<String, JsonPrimitive>,
        path: JsonPath,
        faults: FaultCollector,
    ) {
        for ((name, value) in values) {
            val range = RANGES[name] ?: continue
            if (value.double !in range) {
                faults.add(path.member(name), value, "must be between ${format(range.start)} and ${format(range.endInclusive)}")
            }
        }
    }

    /** Returns whether all [values] are in range. */
    fun isWithin(values: Map<String, JsonPrimitive>): Boolean = values.all { (name, value) -> RANGES[name]?.contains(value.double) ?: true }

    private fun primitives(values: JsonObject): Map<String, JsonPrimitive> = values.mapValues { (_, value) -> value.jsonPrimitive }

    private fun format(bound: Double): String = bound.toLong().toString()
}
