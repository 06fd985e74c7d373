package org.celeryusher.kernel.configuration

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.encoding.CompositeDecoder
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Validates JSON trees against the schema of the serializable document types and converts them to canonical form.
 *
 * The schema is derived from the serial descriptors, so that a new field needs no second declaration. [canonicalize] reports every unknown,
 * missing and wrongly typed field. In canonical form, members are sorted by name, equal numbers are written alike, and empty optional
 * members are omitted.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class DocumentCanonicalizer(
    private val faults: FaultCollector,
) {
    /** Returns the canonical form of [element], or reports its faults and those of its parts and returns null. */
    fun canonicalize(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): JsonElement? =
        when {
            descriptor.isInline -> canonicalize(element, descriptor.getElementDescriptor(0), path)
            descriptor.kind == StructureKind.LIST -> canonicalizeList(element, descriptor, path)
            descriptor.kind == StructureKind.CLASS -> canonicalizeObject(element, descriptor, path)
            else -> canonicalizePrimitive(element, descriptor, path)
        }

    private fun canonicalizeList(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): JsonElement? {
        if (element !is JsonArray) return reportFault(path, element, "must be an array")
        val parts = element.mapIndexed { index, part -> canonicalize(part, descriptor.getElementDescriptor(0), path.element(index)) }
        return if (null in parts) null else JsonArray(parts.filterNotNull())
    }

    private fun canonicalizeObject(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): JsonElement? {
        if (element !is JsonObject) return reportFault(path, element, "must be an object")
        val hasUnknownMembers = reportUnknownMembers(element, descriptor, path)
        val members =
            (0 until descriptor.elementsCount)
                .map { index -> canonicalizeMember(element, descriptor, index, path) }
        if (hasUnknownMembers || members.any { it is Member.Faulty }) return null
        return JsonObject(members.filterIsInstance<Member.Present>().sortedBy { it.name }.associate { it.name to it.value })
    }

    private fun reportUnknownMembers(
        element: JsonObject,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): Boolean {
        val unknown = element.filterKeys { descriptor.getElementIndex(it) == CompositeDecoder.UNKNOWN_NAME }
        if (unknown.isEmpty()) return false
        val known = (0 until descriptor.elementsCount).map(descriptor::getElementName)
        unknown.forEach { (name, value) ->
            faults.add(path.member(name), value, "is an unknown field; the known fields are ${known.joinToString()}")
        }
        return true
    }

    private fun canonicalizeMember(
        element: JsonObject,
        descriptor: SerialDescriptor,
        index: Int,
        path: JsonPath,
    ): Member {
        val name = descriptor.getElementName(index)
        val optional = descriptor.isElementOptional(index)
        val value = element[name]
        if (value == null) {
            if (optional) return Member.Absent
            faults.addVerbatim(path.member(name), "nothing", "is missing")
            return Member.Faulty
        }
        val canonical = canonicalize(value, descriptor.getElementDescriptor(index), path.member(name)) ?: return Member.Faulty
        return if (optional && isEmpty(canonical)) Member.Absent else Member.Present(name, canonical)
    }

    private fun canonicalizePrimitive(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): JsonElement? {
        if (element is JsonNull) return reportFault(path, element, "must not be null; omit the field instead")
        val literal = element as? JsonPrimitive
        return when (val kind = descriptor.kind) {
            PrimitiveKind.STRING -> literal?.takeIf { it.isString } ?: reportFault(path, element, "must be a string")
            PrimitiveKind.BOOLEAN -> unquoted(literal, BOOLEAN) ?: reportFault(path, element, "must be true or false")
            PrimitiveKind.INT -> wholeNumber(literal, Int.MIN_VALUE.toLong()..Int.MAX_VALUE) ?: reportWholeNumberFault(path, element)
            PrimitiveKind.LONG -> wholeNumber(literal, Long.MIN_VALUE..Long.MAX_VALUE) ?: reportWholeNumberFault(path, element)
            PrimitiveKind.DOUBLE -> finiteNumber(literal) ?: reportFault(path, element, "must be a finite number")
            else -> error("fields of kind $kind are not supported in the configuration document")
        }
    }

    private fun wholeNumber(
        literal: JsonPrimitive?,
        range: LongRange,
    ): JsonElement? =
        unquoted(literal, WHOLE_NUMBER)
            ?.content
            ?.toLongOrNull()
            ?.takeIf { it in range }
            ?.let(::JsonPrimitive)

    private fun finiteNumber(literal: JsonPrimitive?): JsonElement? =
        unquoted(literal, NUMBER)
            ?.content
            ?.toDoubleOrNull()
            ?.takeIf(Double::isFinite)
            ?.let { JsonPrimitive(it + 0.0) }

    private fun unquoted(
        literal: JsonPrimitive?,
        pattern: Regex,
    ): JsonPrimitive? = literal?.takeIf { !it.isString && pattern.matches(it.content) }

    private fun reportWholeNumberFault(
        path: JsonPath,
        element: JsonElement,
    ): JsonElement? = reportFault(path, element, "must be an integer within the range of its type")

    private fun reportFault(
        path: JsonPath,
        element: JsonElement,
        message: String,
    ): JsonElement? {
        faults.add(path, element, message)
        return null
    }

    private fun isEmpty(element: JsonElement): Boolean =
        (element is JsonArray && element.isEmpty()) || (element is JsonObject && element.isEmpty())

    private sealed interface Member {
        data object Absent : Member

        data object Faulty : Member

        data class Present(
            val name: String,
            val value: JsonElement,
        ) : Member
    }

    private companion object {
        val BOOLEAN = Regex("true|false")
        val WHOLE_NUMBER = Regex("-?(0|[1-9][0-9]{0,18})")
        val NUMBER = Regex("""-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?""")
    }
}
