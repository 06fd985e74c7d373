package org.celeryusher.kernel.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject

/**
 * The difference between two configurations, by section: what a node that holds [base] needs to hold [target].
 *
 * Obtain it from [between] or [parse], and turn it into a snapshot by [applyTo], which trusts nothing in it.
 */
@Serializable
public data class ConfigurationDelta(
    public val base: ConfigurationDigest,
    public val target: ConfigurationDigest,
    /** Parts that are new, changed or moved, as they stand in the target. */
    public val changed: List<ChangedPart> = emptyList(),
    /** Parts of the base that the target lacks or has at another place. */
    public val removed: List<RemovedPart> = emptyList(),
) {
    /** One part as it stands in the target, with its [index] in its list; 0 for a section that is one part. */
    @Serializable
    public data class ChangedPart(
        public val section: ConfigurationSection,
        public val index: Int,
        public val content: JsonElement,
    )

    /** One part of the base that is taken out, by its name. */
    @Serializable
    public data class RemovedPart(
        public val section: ConfigurationSection,
        public val name: String,
    )

    /** Returns the JSON text that [parse] reads. */
    public fun encode(): String = Json.encodeToString(serializer(), this)

    /**
     * Returns the target, built from [held] and validated as a whole.
     *
     * On any fault the whole document has to be asked for instead: when [held] is not the base, when the outcome does not have the
     * target's content hash, or when it is not a valid document.
     */
    public fun applyTo(held: ConfigurationSnapshot): Either<DeltaFault, ConfigurationSnapshot> {
        if (held.digest != base) return DeltaFault.OtherBase(base, held.digest).left()
        val tree = Json.parseToJsonElement(held.canonicalText).jsonObject
        val targetTree = JsonObject(tree + changedSections(tree) + ("version" to JsonPrimitive(target.version)))
        return ConfigurationParser
            .parse(targetTree.toString().encodeToByteArray())
            .mapLeft(DeltaFault::InvalidTarget)
            .flatMap { if (it.digest == target) it.right() else DeltaFault.OtherTarget(target, it.digest).left() }
    }

    private fun changedSections(tree: JsonObject): Map<String, JsonElement> =
        ConfigurationSection.entries
            .filter { section -> changed.any { it.section == section } || removed.any { it.section == section } }
            .associate { section -> section.field to changedSection(section, tree) }

    private fun changedSection(
        section: ConfigurationSection,
        tree: JsonObject,
    ): JsonElement {
        val parts = changed.filter { it.section == section }
        return if (section.isList) changedList(section, parts, tree) else parts.lastOrNull()?.content ?: JsonObject(emptyMap())
    }

    private fun changedList(
        section: ConfigurationSection,
        parts: List<ChangedPart>,
        tree: JsonObject,
    ): JsonArray {
        val removedNames = removed.filter { it.section == section }.mapTo(mutableSetOf()) { it.name }
        val replacements = parts.associateBy { section.nameOf(it.content) }
        val kept = section.partsOf(tree).filterKeys { it !in removedNames }
        val entries = kept.mapTo(mutableListOf()) { (name, content) -> replacements[name]?.content ?: content }
        parts
            .filter { section.nameOf(it.content) !in kept }
            .sortedBy(ChangedPart::index)
            .forEach { entries.add(it.index.coerceIn(0, entries.size), it.content) }
        return JsonArray(entries)
    }

    public companion object {
        /** Returns what a holder of [base] needs to hold [target]. */
        public fun between(
            base: ConfigurationSnapshot,
            target: ConfigurationSnapshot,
        ): ConfigurationDelta {
            val baseTree = Json.parseToJsonElement(base.canonicalText).jsonObject
            val targetTree = Json.parseToJsonElement(target.canonicalText).jsonObject
            val differences = ConfigurationSection.entries.map { SectionDifference.of(it, it.partsOf(baseTree), it.partsOf(targetTree)) }
            return ConfigurationDelta(base.digest, target.digest, differences.flatMap { it.changed }, differences.flatMap { it.removed })
        }

        /** Returns the delta that [text] encodes, or what is wrong with it. */
        public fun parse(text: String): Either<DeltaFault, ConfigurationDelta> =
            try {
                Json.decodeFromString(serializer(), text).right()
            } catch (error: SerializationException) {
                DeltaFault
                    .Malformed(
                        error.message
                            .orEmpty()
                            .lineSequence()
                            .first(),
                    ).left()
            }
    }
}
