package org.celeryusher.node.control

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** The JSON of messages between nodes. Unknown fields are ignored, so that nodes of different releases understand each other. */
internal object ControlFormat {
    private val json = Json { ignoreUnknownKeys = true }

    fun <T> encode(
        serializer: KSerializer<T>,
        message: T,
    ): ByteArray = json.encodeToString(serializer, message).encodeToByteArray()

    /** Returns the message that [bytes] hold, or null when they are not UTF-8, not JSON or of another shape. */
    fun <T : Any> decodeOrNull(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T? =
        try {
            json.decodeFromString(serializer, bytes.decodeToString(throwOnInvalidSequence = true))
        } catch (_: CharacterCodingException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
}
