package org.celeryusher.kernel.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** A section of the configuration document, by which a [ConfigurationDelta] groups differences. */
@Serializable
public enum class ConfigurationSection(
    /** The name of the document field that contains the section. */
    public val field: String,
    /** Whether the section is a list whose entries are separate parts, identified by name. Otherwise the section is a single part. */
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

    /** Returns the name of the part with [content], or the field name when the section is a single part. */
    internal fun nameOf(content: JsonElement): String {
        val name = if (isList) (content as? JsonObject)?.get("name") as? JsonPrimitive else null
        return name?.content ?: field
    }

    /** Returns the parts of the section in the document [tree] by name, in document order. */
    internal fun partsOf(tree: JsonObject): Map<String, JsonElement> =
        if (isList) (tree[field] as? JsonArray).orEmpty().associateBy(::nameOf) else mapOf(field to tree.getValue(field))
}
