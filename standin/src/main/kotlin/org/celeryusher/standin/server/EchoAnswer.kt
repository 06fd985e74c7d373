package org.celeryusher.standin.server

import net.openhft.hashing.LongHashFunction

/**
 * The body with which a backend server's stand-in answers: a function of the request alone.
 *
 * A caller computes the same bytes and compares, and so knows that an answer is whole and its own. The query parameter
 * `answerBytes` pads the body to that length.
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

    /** Returns whether [answerBody] is the whole answer to the request for [target] with [requestBody]. */
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
