package org.celeryusher.node.call

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.celeryusher.kernel.membership.ServerListChanges
import org.celeryusher.node.control.MessageCompression

/**
 * Compresses complete lists of servers, whose entries are much alike.
 *
 * Uncompressed, a list of 78 servers is a large message, which waits for its turn on a slow link.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object ServerListCompression {
    private val format =
        Cbor {
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
        }

    fun compress(list: ServerListChanges): ByteArray = MessageCompression.compress(format.encodeToByteArray(list))

    /** Returns the list in [bytes], or null when they do not contain one. */
    fun expandOrNull(bytes: ByteArray): ServerListChanges? {
        val expanded = MessageCompression.expandOrNull(bytes, MAXIMUM_BYTES) ?: return null
        if (!CborLengths.areWithin(expanded)) return null
        return try {
            format.decodeFromByteArray<ServerListChanges>(expanded)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        } catch (_: IndexOutOfBoundsException) {
            null
        }
    }

    /** About 10 KB for each of 1,600 servers. */
    private const val MAXIMUM_BYTES = 16 * 1_024 * 1_024
}
