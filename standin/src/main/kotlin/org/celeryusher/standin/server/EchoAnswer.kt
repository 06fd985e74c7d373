package org.celeryusher.standin.server

import net.openhft.hashing.LongHashFunction

/**
 * Computes the answer body of a backend server stand-in, which depends on the request only.
 *
 * A caller computes the same bytes and compares them with the received body to detect truncated answers and answers to other requests.
 * The query parameter `answerBytes` sets a minimum length, to which the body is padded.
 */
public object EchoAnswer {
    /** Returns the body that answers a request for [target] with [requestBody]. */
    public fun bodyFor(
        method: String,
        target: String,
        requestBody: ByteArray,
    ): ByteArray {
        val hash = LongHashFunction.xx3().hashBytes(requestBody)
        val head = """{"method":"$method","target":"$target","length":${requestBody.size},"hash":$hash}"""
        val echoed = "$head\n".encodeToByteArray() + requestBody
        return padded(echoed, requestedLength(target), LongHashFunction.xx3().hashChars(head))
    }

    /** Returns whether [answerBody] is the complete answer to the request for [target] with [requestBody]. */
    public fun matches(
        method: String,
        target: String,
        requestBody: ByteArray,
        answerBody: ByteArray,
    ): Boolean = bodyFor(method, target, requestBody).contentEquals(answerBody)

    private fun requestedLength(target: String): Int =
        LENGTH_PARAMETER
            .find(target)
            ?.groupValues
            ?.get(1)
            ?.toIntOrNull() ?: 0

    private fun padded(
        body: ByteArray,
        length: Int,
        seed: Long,
    ): ByteArray {
        if (length <= body.size) return body
        val result = body.copyOf(length)
        for (index in body.size until length) result[index] = (FIRST_LETTER + Math.floorMod(seed + index, LETTERS)).toByte()
        return result
    }

    private const val FIRST_LETTER = 'a'.code
    private const val LETTERS = 26
    private val LENGTH_PARAMETER = Regex("[?&]answerBytes=([0-9]{1,8})")
}
