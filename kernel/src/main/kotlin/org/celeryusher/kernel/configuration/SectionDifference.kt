package org.celeryusher.kernel.configuration

import kotlinx.serialization.json.JsonElement

/** The difference between two versions of one section. */
internal class SectionDifference private constructor(
    val changed: List<ConfigurationDelta.ChangedPart>,
    val removed: List<ConfigurationDelta.RemovedPart>,
) {
    companion object {
        /** Returns the difference from [base] to [target], which map part names to contents in document order. */
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

        /** Returns the names in both sets, in the order of [target], without those that precede an already selected name in [base]. */
        private fun namesInSameOrder(
            base: Set<String>,
            target: Set<String>,
        ): Set<String> {
            val positions = base.withIndex().associate { (index, name) -> name to index }
            var lastPosition = -1
            return target.filterTo(mutableSetOf()) { name ->
                val position = positions[name] ?: -1
                (position > lastPosition).also { if (it) lastPosition = position }
            }
        }
    }
}
