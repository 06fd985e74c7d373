package org.celeryusher.kernel.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** The sections of a configuration document in which a [ConfigurationDelta] counts differences. */
@Serializable
public enum class ConfigurationSection(
    /** The field of the document that holds the section. */
    public val field: String,
    /** Whether each entry of the section is a part of its own, known by its name; otherwise the section is one part. */
    public val isList: Boolean,
) {
    @SerialName("defaults")
    DEFAULTS("defaults", false),

    @SerialName("ranks")
    RANKS("ranks", false),

    @SerialName("service")
    SERVICE("services", true),

    @SerialName("route")
    ROUTE("routes", true),

    @SerialName("exception")
    EXCEPTION("exceptions", true),
    ;

    /** Returns the name of the part with [content], or the section's own when it is one part. */
    internal fun nameOf(content: JsonElement): String {
        val name = if (isList) (content as? JsonObject)?.get("name") as? JsonPrimitive else null
        return name?.content ?: field
    }

    /** Returns the parts of the section in the document [tree], by name and in their order. */
    internal fun partsOf(tree: JsonObject): Map<String, JsonElement> =
        if (isList) (tree[field] as? JsonArray).orEmpty().associateBy(::nameOf) else mapOf(field to tree.getValue(field))
}
