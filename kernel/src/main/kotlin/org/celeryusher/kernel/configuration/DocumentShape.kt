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
 * Compares a JSON tree with the shape that the serializable document types declare, so that a new field needs no second declaration.
 *
 * [canonical] reports every unknown, missing and wrongly typed field, and returns the canonical form of what fits: members sorted by name,
 * numbers in one spelling, optional members that are empty left out.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class DocumentShape(
    private val faults: FaultCollector,
) {
    /** Returns the canonical form of [element], or null when it or a part of it has a fault, which is then reported. */
    fun canonical(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): JsonElement? =
        when {
            descriptor.isInline -> canonical(element, descriptor.getElementDescriptor(0), path)
            descriptor.kind == StructureKind.LIST -> canonicalList(element, descriptor, path)
            descriptor.kind == StructureKind.CLASS -> canonicalObject(element, descriptor, path)
            else -> canonicalPrimitive(element, descriptor, path)
        }

    private fun canonicalList(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): JsonElement? {
        if (element !is JsonArray) return fault(path, element, "must be an array")
        val parts = element.mapIndexed { index, part -> canonical(part, descriptor.getElementDescriptor(0), path.element(index)) }
        return if (null in parts) null else JsonArray(parts.filterNotNull())
    }

    private fun canonicalObject(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): JsonElement? {
        if (element !is JsonObject) return fault(path, element, "must be an object")
        val unknown = unknownMembers(element, descriptor, path)
        val members =
            (0 until descriptor.elementsCount)
                .map { index -> canonicalMember(element, descriptor, index, path) }
        if (unknown || members.any { it is Member.Faulty }) return null
        return JsonObject(members.filterIsInstance<Member.Present>().sortedBy { it.name }.associate { it.name to it.value })
    }

    private fun unknownMembers(
        element: JsonObject,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): Boolean {
        val unknown = element.filterKeys { descriptor.getElementIndex(it) == CompositeDecoder.UNKNOWN_NAME }
        if (unknown.isEmpty()) return false
        val known = (0 until descriptor.elementsCount).map(descriptor::getElementName)
        unknown.forEach { (name, value) ->
            faults.add(path.member(name), value, "is not a field here; the fields are ${known.joinToString()}")
        }
        return true
    }

    private fun canonicalMember(
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
            faults.addQuoted(path.member(name), "nothing", "is missing")
            return Member.Faulty
        }
        val canonical = canonical(value, descriptor.getElementDescriptor(index), path.member(name)) ?: return Member.Faulty
        return if (optional && isEmpty(canonical)) Member.Absent else Member.Present(name, canonical)
    }

    private fun canonicalPrimitive(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: JsonPath,
    ): JsonElement? {
        if (element is JsonNull) return fault(path, element, "must not be null; leave the field out")
        val literal = element as? JsonPrimitive
        return when (val kind = descriptor.kind) {
            PrimitiveKind.STRING -> literal?.takeIf { it.isString } ?: fault(path, element, "must be a string")
            PrimitiveKind.BOOLEAN -> unquoted(literal, BOOLEAN) ?: fault(path, element, "must be true or false")
            PrimitiveKind.INT -> wholeNumber(literal, Int.MIN_VALUE.toLong()..Int.MAX_VALUE) ?: faultOfWholeNumber(path, element)
            PrimitiveKind.LONG -> wholeNumber(literal, Long.MIN_VALUE..Long.MAX_VALUE) ?: faultOfWholeNumber(path, element)
            PrimitiveKind.DOUBLE -> finiteNumber(literal) ?: fault(path, element, "must be a finite number")
            else -> error("the configuration document has a field of the kind $kind, which has no check")
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

    private fun faultOfWholeNumber(
        path: JsonPath,
        element: JsonElement,
    ): JsonElement? = fault(path, element, "must be a whole number in range")

    private fun fault(
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
