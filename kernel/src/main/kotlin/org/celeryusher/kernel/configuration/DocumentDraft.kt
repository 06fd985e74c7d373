package org.celeryusher.kernel.configuration

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** One entry of a list of the document: [value] is null when its shape is faulty, [name] also when that field itself is. */
internal data class DraftEntry<T : Any>(
    val path: JsonPath,
    val name: String?,
    val value: T?,
)

/** The parts of a document whose shape is right, so that the rules can be checked on these even when others are faulty. */
internal class DocumentDraft private constructor(
    val version: Long?,
    val defaults: FleetSettings?,
    val ranks: List<DraftEntry<RankDeclaration>>?,
    val services: List<DraftEntry<ServiceDeclaration>>?,
    val routes: List<DraftEntry<RouteDeclaration>>?,
    val exceptions: List<DraftEntry<FleetException>>?,
    val callers: CallerLimits?,
) {
    companion object {
        /** Returns the draft of a [document] whose shape is right throughout. */
        fun of(document: ConfigurationDocument): DocumentDraft =
            DocumentDraft(
                version = document.version,
                defaults = document.defaults,
                ranks = entries("ranks", document.ranks) { it.name.value },
                services = entries("services", document.services) { it.name.value },
                routes = entries("routes", document.routes) { it.name.value },
                exceptions = entries("exceptions", document.exceptions) { it.name },
                callers = document.callers,
            )

        /** Returns the draft of the document in [tree]. The faults of its shape are not reported here; [DocumentShape] does that. */
        fun of(tree: JsonObject): DocumentDraft =
            DocumentDraft(
                version = decoded(tree["version"], Long.serializer()),
                defaults = decoded(tree["defaults"], FleetSettings.serializer()),
                ranks = entries(tree, "ranks", RankDeclaration.serializer()),
                services = entries(tree, "services", ServiceDeclaration.serializer()),
                routes = entries(tree, "routes", RouteDeclaration.serializer()),
                exceptions = if ("exceptions" in tree) entries(tree, "exceptions", FleetException.serializer()) else emptyList(),
                callers = if ("callers" in tree) decoded(tree["callers"], CallerLimits.serializer()) else null,
            )

        private fun <T : Any> entries(
            list: String,
            values: List<T>,
            nameOf: (T) -> String,
        ): List<DraftEntry<T>> {
            val path = JsonPath.ROOT.member(list)
            return values.mapIndexed { index, value -> DraftEntry(path.element(index), nameOf(value), value) }
        }

        private fun <T : Any> entries(
            tree: JsonObject,
            list: String,
            serializer: KSerializer<T>,
        ): List<DraftEntry<T>>? {
            val path = JsonPath.ROOT.member(list)
            return (tree[list] as? JsonArray)?.mapIndexed { index, element ->
                val name = (element as? JsonObject)?.get("name") as? JsonPrimitive
                DraftEntry(path.element(index), name?.takeIf { it.isString }?.content, decoded(element, serializer))
            }
        }

        private fun <T : Any> decoded(
            element: JsonElement?,
            serializer: KSerializer<T>,
        ): T? {
            val canonical = element?.let { DocumentShape(FaultCollector()).canonical(it, serializer.descriptor, JsonPath.ROOT) }
            return canonical?.let { Json.decodeFromJsonElement(serializer, it) }
        }
    }
}
