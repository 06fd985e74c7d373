package org.celeryusher.kernel.configuration

import kotlinx.serialization.json.JsonElement

/** What differs between two states of one section. */
internal class SectionDifference private constructor(
    val changed: List<ConfigurationDelta.ChangedPart>,
    val removed: List<ConfigurationDelta.RemovedPart>,
) {
    companion object {
        /** Returns the difference from the parts [base] to the parts [target], both in their order. */
        fun of(
            section: ConfigurationSection,
            base: Map<String, JsonElement>,
            target: Map<String, JsonElement>,
        ): SectionDifference {
            val kept = namesInSameOrder(base.keys, target.keys)
            val changed =
                target.entries.withIndex().mapNotNull { (index, part) ->
                    val same = part.key in kept && base[part.key] == part.value
                    if (same) null else ConfigurationDelta.ChangedPart(section, index, part.value)
                }
            val removed = base.keys.filter { it !in kept }.map { ConfigurationDelta.RemovedPart(section, it) }
            return SectionDifference(changed, removed)
        }

        /** Returns names that stand in both sets in the same order; a name that was moved backwards is left out. */
        private fun namesInSameOrder(
            base: Set<String>,
            target: Set<String>,
        ): Set<String> {
            val positions = base.withIndex().associate { (index, name) -> name to index }
            var last = -1
            return target.filterTo(mutableSetOf()) { name ->
                val position = positions[name] ?: -1
                (position > last).also { if (it) last = position }
            }
        }
    }
}
