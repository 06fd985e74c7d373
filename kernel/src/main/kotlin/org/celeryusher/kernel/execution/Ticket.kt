package org.celeryusher.kernel.execution

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
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

/** The random 128-bit name of one ticket. */
@Serializable
public data class TicketId(
    public val high: Long,
    public val low: Long,
) {
    override fun toString(): String = "%016x%016x".format(high, low)

    public companion object {
        /** Returns a new id drawn from [random], which must not repeat between processes. */
        public fun random(random: Random): TicketId = TicketId(random.nextLong(), random.nextLong())
    }
}

/**
 * Names the one process that may run a caller's non-idempotent work, and runs it at most once: life [life] of [owner].
 *
 * [expiresAt] is on the owner's own clock. The text form carries a hash against damage and truncation; what protects against made-up
 * tickets is that the owner honours only ids that it has issued.
 */
@Serializable
public data class Ticket(
    public val owner: InstanceName,
    public val life: Long,
    public val id: TicketId,
    public val route: RouteName,
    public val issuedAt: Uptime,
    public val expiresAt: Uptime,
) {
    /** Returns the ticket as URL-safe text of the letters, digits, `-` and `_`. */
    @OptIn(ExperimentalSerializationApi::class)
    public fun encode(): String {
        val content = Cbor.encodeToByteArray(serializer(), this)
        val bytes = ByteBuffer.allocate(Long.SIZE_BYTES + content.size).putLong(checkOf(content)).put(content)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.array())
    }

    public companion object {
        private const val MAXIMUM_TEXT_LENGTH = 1_024
        private val check = LongHashFunction.xx3()

        /** Returns the ticket that [text] stands for, or [ErrorKind.TICKET_INVALID] when it is damaged, cut short or no ticket at all. */
        @OptIn(ExperimentalSerializationApi::class)
        public fun decode(text: String): Either<ErrorKind, Ticket> {
            if (text.length > MAXIMUM_TEXT_LENGTH) return ErrorKind.TICKET_INVALID.left()
            return try {
                val bytes = ByteBuffer.wrap(Base64.getUrlDecoder().decode(text))
                if (bytes.remaining() <= Long.SIZE_BYTES) return ErrorKind.TICKET_INVALID.left()
                val expected = bytes.getLong()
                val content = ByteArray(bytes.remaining()).also(bytes::get)
                if (checkOf(content) != expected) return ErrorKind.TICKET_INVALID.left()
                Cbor.decodeFromByteArray(serializer(), content).right()
            } catch (_: SerializationException) {
                ErrorKind.TICKET_INVALID.left()
            } catch (_: IllegalArgumentException) {
                ErrorKind.TICKET_INVALID.left()
            }
        }

        private fun checkOf(content: ByteArray): Long = check.hashBytes(content)
    }
}
