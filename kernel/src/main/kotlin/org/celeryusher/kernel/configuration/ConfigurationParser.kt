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
 * Parses and validates configuration documents.
 *
 * A document is accepted or refused as a whole. Input that is too large, not UTF-8, not JSON or nested too deeply is reported as a single
 * fault. Otherwise the faults of all parts are reported together: a part that does not match the schema does not hide faults in the others.
 */
public object ConfigurationParser {
    /** The default limit on the size of a document, in bytes. */
    public const val MAXIMUM_DOCUMENT_BYTES: Int = 1_048_576
    private const val MAXIMUM_DEPTH = 16

    /** Returns the snapshot of the document in [bytes], or all its faults. A size above [maximumBytes] is a fault. */
    public fun parse(
        bytes: ByteArray,
        maximumBytes: Int = MAXIMUM_DOCUMENT_BYTES,
    ): Either<NonEmptyList<ConfigurationFault>, ConfigurationSnapshot> {
        val faults = FaultCollector()
        val snapshot = treeOrNull(bytes, maximumBytes, faults)?.let { snapshotOrNull(it, faults) }
        return faults.toFaultsOrNull()?.left() ?: checkNotNull(snapshot) { "the parser returned neither a snapshot nor a fault" }.right()
    }

    /**
     * Returns the snapshot of a [document] that was decoded from another format, or all its faults.
     *
     * The content hash is computed from the original bytes [published], so that two different publications with the same version conflict.
     */
    public fun validate(
        document: ConfigurationDocument,
        published: ByteArray,
    ): Either<NonEmptyList<ConfigurationFault>, ConfigurationSnapshot> {
        val faults = FaultCollector()
        DocumentValidator(PartialDocument.of(document), faults).validate()
        faults.toFaultsOrNull()?.let { return it.left() }
        val digest = ConfigurationDigest(document.version, contentHashOf(published))
        return ConfigurationSnapshot(document, digest, lazy { canonicalTextOf(document) }).right()
    }

    /** Returns the content hash of a configuration that was published as [bytes] in another format. */
    public fun contentHashOf(bytes: ByteArray): Long = LongHashFunction.xx3().hashBytes(bytes)

    private fun canonicalTextOf(document: ConfigurationDocument): String {
        val serializer = ConfigurationDocument.serializer()
        val tree = Json.encodeToJsonElement(serializer, document)
        return DocumentCanonicalizer(FaultCollector()).canonicalize(tree, serializer.descriptor, JsonPath.ROOT).toString()
    }

    /** Returns the version of the document in [bytes], even if the document is otherwise invalid, or null when it cannot be read. */
    public fun versionOrNull(bytes: ByteArray): Long? =
        (treeOrNull(bytes, MAXIMUM_DOCUMENT_BYTES, FaultCollector()) as? JsonObject)?.let { PartialDocument.of(it).version }

    private fun treeOrNull(
        bytes: ByteArray,
        maximumBytes: Int,
        faults: FaultCollector,
    ): JsonElement? {
        if (bytes.size > maximumBytes) {
            faults.addVerbatim(JsonPath.ROOT, "${bytes.size} bytes", "is larger than the limit of $maximumBytes bytes")
            return null
        }
        val text = textOrNull(bytes, faults) ?: return null
        val scan = JsonTextScan.of(text, MAXIMUM_DEPTH)
        if (scan.maximumDepth > MAXIMUM_DEPTH) {
            faults.addVerbatim(JsonPath.ROOT, "depth ${scan.maximumDepth}", "is nested deeper than $MAXIMUM_DEPTH levels")
            return null
        }
        return try {
            val tree = Json.parseToJsonElement(text)
            scan.duplicates.forEach { faults.add(it.path, it.name, "is a duplicate field of the object") }
            tree
        } catch (error: SerializationException) {
            faults.addVerbatim(
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
            faults.addVerbatim(JsonPath.ROOT, "${bytes.size} bytes", "is not UTF-8")
            null
        }

    private fun snapshotOrNull(
        tree: JsonElement,
        faults: FaultCollector,
    ): ConfigurationSnapshot? {
        val serializer = ConfigurationDocument.serializer()
        val canonical = DocumentCanonicalizer(faults).canonicalize(tree, serializer.descriptor, JsonPath.ROOT)
        if (canonical == null) {
            if (tree is JsonObject) DocumentValidator(PartialDocument.of(tree), faults).validate()
            return null
        }
        val document = Json.decodeFromJsonElement(serializer, canonical)
        DocumentValidator(PartialDocument.of(document), faults).validate()
        if (!faults.isEmpty()) return null
        val text = canonical.toString()
        return ConfigurationSnapshot(document, ConfigurationDigest(document.version, hashOf(text)), lazyOf(text))
    }

    private fun hashOf(canonicalText: String): Long = LongHashFunction.xx3().hashChars(canonicalText)
}
