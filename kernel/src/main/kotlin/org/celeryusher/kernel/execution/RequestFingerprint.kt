package org.celeryusher.kernel.execution

import kotlinx.serialization.Serializable
import net.openhft.hashing.LongHashFunction
import net.openhft.hashing.LongTupleHashFunction

/** A 128-bit hash of a request's method, path and body. Equal requests have equal fingerprints in every process. */
@Serializable
public data class RequestFingerprint(
    public val high: Long,
    public val low: Long,
) {
    override fun toString(): String = hexFormat.toHexDigits(high) + hexFormat.toHexDigits(low)

    public companion object {
        /** Returns the fingerprint of a request. [path] includes the query. */
        public fun of(
            method: String,
            path: String,
            body: ByteArray,
        ): RequestFingerprint {
            val seed = LongHashFunction.xx3().hashChars("$method $path")
            val hash = LongTupleHashFunction.xx128(seed).hashBytes(body)
            return RequestFingerprint(hash[1], hash[0])
        }
    }
}
