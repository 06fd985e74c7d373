package org.celeryusher.node.control

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The header values that sign one message. */
internal data class MessageSignature(
    val wallMilliseconds: String,
    val nonce: String,
    val code: String,
)

/** Why a message's signature is not accepted. */
internal enum class SignatureFault { MISSING, WRONG, AGED, REPEATED }

/**
 * Signs messages between nodes by HMAC-SHA256 with the fleet's secret, and checks those that come.
 *
 * A request's code covers method, path with query, time, nonce and body; an answer's covers the code of its request in place of the
 * path, so that an answer fits one request only. A message whose time differs from this node's wall clock by more than [MAXIMUM_AGE] is
 * refused, and so is a repetition within that time as long as it is remembered. Beyond that memory a repetition is harmless: news,
 * versions and revisions only rise.
 */
internal class FleetSignature(
    secret: String,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) {
    private val key = SecretKeySpec(secret.encodeToByteArray(), ALGORITHM)
    private val nonces = SecureRandom()
    private val seen =
        object : LinkedHashMap<String, Unit>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>): Boolean = size > REMEMBERED_MESSAGES
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

    /** Returns why a request is not accepted, or null when it is. */
    fun faultOfRequest(
        signature: MessageSignature?,
        method: String,
        path: String,
        body: ByteArray,
    ): SignatureFault? = faultOf(signature, "$method $path", body) ?: SignatureFault.REPEATED.takeIf { isRepeated(signature) }

    /** Returns why an answer is not accepted, or null when it is. */
    fun faultOfAnswer(
        signature: MessageSignature?,
        requestCode: String,
        body: ByteArray,
    ): SignatureFault? = faultOf(signature, "$ANSWER $requestCode", body)

    private fun sign(
        subject: String,
        body: ByteArray,
    ): MessageSignature {
        val time = wallMilliseconds().toString()
        val nonce = ByteArray(NONCE_BYTES).also(nonces::nextBytes).let(HexFormat.of()::formatHex)
        return MessageSignature(time, nonce, codeOf(subject, time, nonce, body))
    }

    private fun faultOf(
        signature: MessageSignature?,
        subject: String,
        body: ByteArray,
    ): SignatureFault? {
        val time = signature?.wallMilliseconds?.toLongOrNull() ?: return SignatureFault.MISSING
        val expected = codeOf(subject, signature.wallMilliseconds, signature.nonce, body)
        return when {
            !MessageDigest.isEqual(expected.encodeToByteArray(), signature.code.encodeToByteArray()) -> SignatureFault.WRONG
            abs(wallMilliseconds() - time) > MAXIMUM_AGE.inWholeMilliseconds -> SignatureFault.AGED
            else -> null
        }
    }

    private fun isRepeated(signature: MessageSignature?): Boolean =
        signature != null && synchronized(seen) { seen.put(signature.code, Unit) != null }

    private fun codeOf(
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
        private const val REMEMBERED_MESSAGES = 4_096
        private const val NONCE_BYTES = 8
        private const val ANSWER = "answer"
        private const val ALGORITHM = "HmacSHA256"
    }
}
