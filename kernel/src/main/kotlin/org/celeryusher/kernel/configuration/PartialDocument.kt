package org.celeryusher.kernel.configuration

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** A list entry in the document. [value] is null when the entry does not match the schema, [name] when it is missing or not a string. */
internal data class PartialEntry<T : Any>(
    val path: JsonPath,
    val name: String?,
    val value: T?,
)

/** The parts of a document that match the schema, and null for the others. Allows the rules for the matching parts to be checked. */
internal class PartialDocument private constructor(
    val version: Long?,
    val defaults: FleetSettings?,
    val ranks: List<PartialEntry<RankDeclaration>>?,
    val services: List<PartialEntry<ServiceDeclaration>>?,
    val routes: List<PartialEntry<RouteDeclaration>>?,
    val exceptions: List<PartialEntry<FleetException>>?,
    val callers: CallerLimits?,
) {
    companion object {
        /** Returns all parts of a [document] that matches the schema completely. */
        fun of(document: ConfigurationDocument): PartialDocument =
            PartialDocument(
                version = document.version,
                defaults = document.defaults,
                ranks = entries("ranks", document.ranks) { it.name.value },
                services = entries("services", document.services) { it.name.value },
                routes = entries("routes", document.routes) { it.name.value },
                exceptions = entries("exceptions", document.exceptions) { it.name },
                callers = document.callers,
            )

        /** Returns the parts of the JSON document [tree] that match the schema. [DocumentCanonicalizer] reports the parts that do not. */
        fun of(tree: JsonObject): PartialDocument =
            PartialDocument(
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
        ): List<PartialEntry<T>> {
            val path = JsonPath.ROOT.member(list)
            return values.mapIndexed { index, value -> PartialEntry(path.element(index), nameOf(value), value) }
        }

        private fun <T : Any> entries(
            tree: JsonObject,
            list: String,
            serializer: KSerializer<T>,
        ): List<PartialEntry<T>>? {
            val path = JsonPath.ROOT.member(list)
            return (tree[list] as? JsonArray)?.mapIndexed { index, element ->
                val name = (element as? JsonObject)?.get("name") as? JsonPrimitive
                PartialEntry(path.element(index), name?.takeIf { it.isString }?.content, decoded(element, serializer))
            }
        }

        private fun <T : Any> decoded(
            element: JsonElement?,
            serializer: KSerializer<T>,
        ): T? {
            val canonical = element?.let { DocumentCanonicalizer(FaultCollector()).canonicalize(it, serializer.descriptor, JsonPath.ROOT) }
            return canonical?.let { Json.decodeFromJsonElement(serializer, it) }
        }
    }
}
