package org.celeryusher.kernel.execution

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import net.openhft.hashing.LongHashFunction
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import java.nio.ByteBuffer
import java.util.Base64
import kotlin.random.Random

/** The random 128-bit identifier of one ticket. */
@Serializable
public data class TicketId(
    public val high: Long,
    public val low: Long,
) {
    override fun toString(): String = hexFormat.toHexDigits(high) + hexFormat.toHexDigits(low)

    public companion object {
        /** Returns a new identifier drawn from [random], whose sequence must differ between processes. */
        public fun random(random: Random): TicketId = TicketId(random.nextLong(), random.nextLong())
    }
}

/**
 * Identifies the only process that may run a caller's non-idempotent work, which it does at most once.
 *
 * That process is the one on the instance [owner] with the `Incarnation.start` [processStart]. [issuedAt] and [expiresAt] are times on its
 * own clock. The text form contains a hash that detects corruption and truncation. Forged tickets are rejected because the owner accepts
 * only the identifiers that it has issued.
 */
@Serializable
public data class Ticket(
    public val owner: InstanceName,
    @SerialName("life") public val processStart: Long,
    public val id: TicketId,
    public val route: RouteName,
    public val issuedAt: Uptime,
    public val expiresAt: Uptime,
) {
    /** Returns the ticket as URL-safe text of letters, digits, `-` and `_`. */
    @OptIn(ExperimentalSerializationApi::class)
    public fun encode(): String {
        val content = Cbor.encodeToByteArray(serializer(), this)
        val bytes = ByteBuffer.allocate(Long.SIZE_BYTES + content.size).putLong(checksumOf(content)).put(content)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.array())
    }

    public companion object {
        private const val MAXIMUM_TEXT_LENGTH = 1_024
        private val hashFunction = LongHashFunction.xx3()

        /** Returns the ticket that [text] encodes, or [ErrorKind.TICKET_INVALID] if it is corrupt, truncated or not a ticket. */
        @OptIn(ExperimentalSerializationApi::class)
        public fun decode(text: String): Either<ErrorKind, Ticket> {
            if (text.length > MAXIMUM_TEXT_LENGTH) return ErrorKind.TICKET_INVALID.left()
            return try {
                val bytes = ByteBuffer.wrap(Base64.getUrlDecoder().decode(text))
                if (bytes.remaining() <= Long.SIZE_BYTES) return ErrorKind.TICKET_INVALID.left()
                val expected = bytes.getLong()
                val content = ByteArray(bytes.remaining()).also(bytes::get)
                if (checksumOf(content) != expected) return ErrorKind.TICKET_INVALID.left()
                Cbor.decodeFromByteArray(serializer(), content).right()
            } catch (_: SerializationException) {
                ErrorKind.TICKET_INVALID.left()
            } catch (_: IllegalArgumentException) {
                ErrorKind.TICKET_INVALID.left()
            }
        }

        private fun checksumOf(content: ByteArray): Long = hashFunction.hashBytes(content)
    }
}
