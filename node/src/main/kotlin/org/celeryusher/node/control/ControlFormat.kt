package org.celeryusher.node.control

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.configuration.JsonNesting

/** The JSON format of messages between nodes. Unknown fields are ignored, so that nodes of different releases are compatible. */
internal object ControlFormat {
    private val json = Json { ignoreUnknownKeys = true }

    fun <T> encode(
        serializer: KSerializer<T>,
        message: T,
    ): ByteArray = json.encodeToString(serializer, message).encodeToByteArray()

    /** Returns the message in [bytes], or null when they are not UTF-8, not JSON, or do not match [serializer]. */
    fun <T : Any> decodeOrNull(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T? =
        try {
            val text = bytes.decodeToString(throwOnInvalidSequence = true)
            if (JsonNesting.isWithinLimit(text)) json.decodeFromString(serializer, text) else null
        } catch (_: CharacterCodingException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
}
