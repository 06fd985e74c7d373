package org.celeryusher.node.control

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The header values that authenticate one message. */
internal data class MessageSignature(
    val wallMilliseconds: String,
    val nonce: String,
    val code: String,
)

/** The reason why the signature of a message is rejected. */
internal enum class SignatureFault { MISSING, WRONG, AGED, REPEATED }

/**
 * Signs messages between nodes with HMAC-SHA256 and the fleet secret, and verifies received messages.
 *
 * The authentication code of a request covers method, path with query, time, nonce and body. That of a response covers the code of its
 * request instead of method and path, so that a response is valid for one request only. A message is rejected when its time differs from
 * this node's wall clock by more than [MAXIMUM_AGE]. A replayed request is rejected while its code is among the last
 * [MAXIMUM_REMEMBERED_MESSAGES]. An older replay is harmless, because member updates, versions and revisions only increase.
 */
internal class MessageSigner(
    secret: String,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) {
    private val key = SecretKeySpec(secret.encodeToByteArray(), ALGORITHM)
    private val nonces = SecureRandom()
    private val seen =
        object : LinkedHashMap<String, Unit>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>): Boolean = size > MAXIMUM_REMEMBERED_MESSAGES
        }

    fun signRequest(
        method: String,
        path: String,
        body: ByteArray,
    ): MessageSignature = sign("$method $path", body)

    fun signAnswer(
        requestCode: String,
        body: ByteArray,
    ): MessageSignature = sign("$ANSWER $requestCode", body)

    /** Returns why a request is rejected, or null when it is valid. */
    fun requestFaultOrNull(
        signature: MessageSignature?,
        method: String,
        path: String,
        body: ByteArray,
    ): SignatureFault? = faultOrNull(signature, "$method $path", body) ?: SignatureFault.REPEATED.takeIf { isReplayed(signature) }

    /** Returns why a response is rejected, or null when it is valid. */
    fun answerFaultOrNull(
        signature: MessageSignature?,
        requestCode: String,
        body: ByteArray,
    ): SignatureFault? = faultOrNull(signature, "$ANSWER $requestCode", body)

    private fun sign(
        subject: String,
        body: ByteArray,
    ): MessageSignature {
        val time = wallMilliseconds().toString()
        val nonce = ByteArray(NONCE_BYTES).also(nonces::nextBytes).let(HexFormat.of()::formatHex)
        return MessageSignature(time, nonce, authenticationCode(subject, time, nonce, body))
    }

    private fun faultOrNull(
        signature: MessageSignature?,
        subject: String,
        body: ByteArray,
    ): SignatureFault? {
        val time = signature?.wallMilliseconds?.toLongOrNull() ?: return SignatureFault.MISSING
        val expected = authenticationCode(subject, signature.wallMilliseconds, signature.nonce, body)
        return when {
            !MessageDigest.isEqual(expected.encodeToByteArray(), signature.code.encodeToByteArray()) -> SignatureFault.WRONG
            abs(wallMilliseconds() - time) > MAXIMUM_AGE.inWholeMilliseconds -> SignatureFault.AGED
            else -> null
        }
    }

    private fun isReplayed(signature: MessageSignature?): Boolean =
        signature != null && synchronized(seen) { seen.put(signature.code, Unit) != null }

    private fun authenticationCode(
        subject: String,
        time: String,
        nonce: String,
        body: ByteArray,
    ): String {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(key)
        mac.update("$subject\n$time\n$nonce\n".encodeToByteArray())
        return HexFormat.of().formatHex(mac.doFinal(body))
    }

    companion object {
        val MAXIMUM_AGE: Duration = 60.seconds
        private const val MAXIMUM_REMEMBERED_MESSAGES = 4_096
        private const val NONCE_BYTES = 8
        private const val ANSWER = "answer"
        private const val ALGORITHM = "HmacSHA256"
    }
}
