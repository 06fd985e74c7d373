package org.celeryusher.kernel.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import net.openhft.hashing.LongHashFunction

/**
 * Turns the bytes of a configuration document into a snapshot, or into every fault at once.
 *
 * A document is accepted whole or refused whole. Bytes that are too large, not UTF-8, not JSON or nested too deep give that one fault;
 * otherwise the faults of all parts are returned together, a part with a wrong shape not hiding those of the others.
 */
public object ConfigurationParser {
    /** The size of the largest document that is read unless the caller says otherwise. */
    public const val MAXIMUM_DOCUMENT_BYTES: Int = 1_048_576
    private const val MAXIMUM_DEPTH = 16

    /** Returns the snapshot of the document in [bytes], or all its faults; more than [maximumBytes] is a fault. */
    public fun parse(
        bytes: ByteArray,
        maximumBytes: Int = MAXIMUM_DOCUMENT_BYTES,
    ): Either<NonEmptyList<ConfigurationFault>, ConfigurationSnapshot> {
        val faults = FaultCollector()
        val snapshot = treeOrNull(bytes, maximumBytes, faults)?.let { snapshotOrNull(it, faults) }
        return faults.toFaultsOrNull()?.left() ?: checkNotNull(snapshot) { "no snapshot and no fault" }.right()
    }

    /**
     * Returns the snapshot of a [document] that was published in another format, or all its faults.
     *
     * Its digest has the hash of the bytes [published], so that two different publications under one version are told apart.
     */
    public fun accept(
        document: ConfigurationDocument,
        published: ByteArray,
    ): Either<NonEmptyList<ConfigurationFault>, ConfigurationSnapshot> {
        val faults = FaultCollector()
        DocumentRules(DocumentDraft.of(document), faults).check()
        faults.toFaultsOrNull()?.let { return it.left() }
        val digest = ConfigurationDigest(document.version, LongHashFunction.xx3().hashBytes(published))
        return ConfigurationSnapshot(document, digest, lazy { canonicalTextOf(document) }).right()
    }

    private fun canonicalTextOf(document: ConfigurationDocument): String {
        val serializer = ConfigurationDocument.serializer()
        val tree = Json.encodeToJsonElement(serializer, document)
        return DocumentShape(FaultCollector()).canonical(tree, serializer.descriptor, JsonPath.ROOT).toString()
    }

    /** Returns the version that the document in [bytes] states, also when the document is faulty, or null when there is none to read. */
    public fun versionOrNull(bytes: ByteArray): Long? =
        (treeOrNull(bytes, MAXIMUM_DOCUMENT_BYTES, FaultCollector()) as? JsonObject)?.let { DocumentDraft.of(it).version }

    private fun treeOrNull(
        bytes: ByteArray,
        maximumBytes: Int,
        faults: FaultCollector,
    ): JsonElement? {
        if (bytes.size > maximumBytes) {
            faults.addQuoted(JsonPath.ROOT, "${bytes.size} bytes", "is larger than the limit of $maximumBytes bytes")
            return null
        }
        val text = textOrNull(bytes, faults) ?: return null
        val scan = JsonTextScan.of(text, MAXIMUM_DEPTH)
        if (scan.maximumDepth > MAXIMUM_DEPTH) {
            faults.addQuoted(JsonPath.ROOT, "depth ${scan.maximumDepth}", "nests deeper than $MAXIMUM_DEPTH levels")
            return null
        }
        return try {
            val tree = Json.parseToJsonElement(text)
            scan.duplicates.forEach { faults.add(it.path, it.name, "stands twice in one object") }
            tree
        } catch (error: SerializationException) {
            faults.addQuoted(
                JsonPath.ROOT,
                text.trim().ifEmpty { "nothing" },
                "is not JSON: ${error.message.orEmpty().lineSequence().first()}",
            )
            null
        }
    }

    private fun textOrNull(
        bytes: ByteArray,
        faults: FaultCollector,
    ): String? =
        try {
            bytes.decodeToString(throwOnInvalidSequence = true)
        } catch (_: CharacterCodingException) {
            faults.addQuoted(JsonPath.ROOT, "${bytes.size} bytes", "is not UTF-8")
            null
        }

    private fun snapshotOrNull(
        tree: JsonElement,
        faults: FaultCollector,
    ): ConfigurationSnapshot? {
        val serializer = ConfigurationDocument.serializer()
        val canonical = DocumentShape(faults).canonical(tree, serializer.descriptor, JsonPath.ROOT)
        if (canonical == null) {
            if (tree is JsonObject) DocumentRules(DocumentDraft.of(tree), faults).check()
            return null
        }
        val document = Json.decodeFromJsonElement(serializer, canonical)
        DocumentRules(DocumentDraft.of(document), faults).check()
        if (!faults.isEmpty()) return null
        val text = canonical.toString()
        return ConfigurationSnapshot(document, ConfigurationDigest(document.version, hashOf(text)), lazyOf(text))
    }

    private fun hashOf(canonicalText: String): Long = LongHashFunction.xx3().hashChars(canonicalText)
}
