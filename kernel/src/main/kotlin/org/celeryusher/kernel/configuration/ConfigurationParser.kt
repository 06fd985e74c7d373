package org.celeryusher.kernel.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import net.openhft.hashing.LongHashFunction

/** Turns the bytes of a configuration document into a snapshot, or into every fault at once. */
public object ConfigurationParser {
    private val format = Json { ignoreUnknownKeys = false }

    /** Returns the snapshot of the document in [bytes], or all its faults. */
    public fun parse(bytes: ByteArray): Either<NonEmptyList<ConfigurationFault>, ConfigurationSnapshot> =
        try {
            val document = format.decodeFromString<ConfigurationDocument>(bytes.decodeToString(throwOnInvalidSequence = true))
            ConfigurationSnapshot(document, digestOf(document)).right()
        } catch (error: SerializationException) {
            nonEmptyListOf(ConfigurationFault("$", "document", error.message.orEmpty())).left()
        } catch (error: IllegalArgumentException) {
            nonEmptyListOf(ConfigurationFault("$", "document", error.message.orEmpty())).left()
        } catch (error: CharacterCodingException) {
            nonEmptyListOf(ConfigurationFault("$", "document", "is not UTF-8")).left()
        }

    private fun digestOf(document: ConfigurationDocument): ConfigurationDigest {
        val canonical = format.encodeToString(ConfigurationDocument.serializer(), document)
        return ConfigurationDigest(document.version, LongHashFunction.xx3().hashChars(canonical))
    }
}
