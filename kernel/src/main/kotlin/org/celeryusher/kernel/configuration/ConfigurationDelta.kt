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
 * The difference between two configurations, by section: the changes that turn [base] into [target].
 *
 * Create it with [between] or [parse], and apply it with [applyTo], which validates the result because a delta may come from another node.
 */
@Serializable
public data class ConfigurationDelta(
    public val base: ConfigurationDigest,
    public val target: ConfigurationDigest,
    /** Parts that were added, changed or moved, with their content in the target. */
    public val changed: List<ChangedPart> = emptyList(),
    /** Parts of the base that the target does not have or has at another position. */
    public val removed: List<RemovedPart> = emptyList(),
) {
    /** The [content] of one part in the target and its [index] in the list of its section, 0 for a section that is a single part. */
    @Serializable
    public data class ChangedPart(
        public val section: ConfigurationSection,
        public val index: Int,
        public val content: JsonElement,
    )

    /** A part to remove from the base, by its name. */
    @Serializable
    public data class RemovedPart(
        public val section: ConfigurationSection,
        public val name: String,
    )

    /** Returns this delta as JSON text for [parse]. */
    public fun encode(): String = Json.encodeToString(serializer(), this)

    /**
     * Returns the target configuration, computed from [held] and validated as a whole.
     *
     * Returns a fault when [held] is not the base, when the result does not have the target's content hash, or when it is not a valid
     * document. The caller must then request the whole document.
     */
    public fun applyTo(held: ConfigurationSnapshot): Either<DeltaFault, ConfigurationSnapshot> {
        if (held.digest != base) return DeltaFault.BaseMismatch(base, held.digest).left()
        val tree = Json.parseToJsonElement(held.canonicalText).jsonObject
        val targetTree = JsonObject(tree + changedSections(tree) + ("version" to JsonPrimitive(target.version)))
        return ConfigurationParser
            .parse(targetTree.toString().encodeToByteArray())
            .mapLeft(DeltaFault::InvalidTarget)
            .flatMap { if (it.digest == target) it.right() else DeltaFault.TargetMismatch(target, it.digest).left() }
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
        /** Returns the delta from [base] to [target]. */
        public fun between(
            base: ConfigurationSnapshot,
            target: ConfigurationSnapshot,
        ): ConfigurationDelta {
            val baseTree = Json.parseToJsonElement(base.canonicalText).jsonObject
            val targetTree = Json.parseToJsonElement(target.canonicalText).jsonObject
            val differences = ConfigurationSection.entries.map { SectionDifference.of(it, it.partsOf(baseTree), it.partsOf(targetTree)) }
            return ConfigurationDelta(base.digest, target.digest, differences.flatMap { it.changed }, differences.flatMap { it.removed })
        }

        /** Returns the delta encoded in [text], or [DeltaFault.Malformed]. */
        public fun parse(text: String): Either<DeltaFault, ConfigurationDelta> =
            try {
                if (!JsonNesting.isWithinLimit(text)) return DeltaFault.Malformed("the delta is nested too deeply").left()
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
