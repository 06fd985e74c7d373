package org.celeryusher.node.control

import io.ktor.http.Headers

/** The headers of messages between nodes. */
internal object ControlHeaders {
    /** The sender's wall clock, in milliseconds since 1970. */
    const val TIME = "Celeryusher-Time"
    const val NONCE = "Celeryusher-Nonce"
    const val SIGNATURE = "Celeryusher-Signature"

    /** Returns the signature in [headers], or null when a part of it is missing. */
    fun signatureIn(headers: Headers): MessageSignature? {
        val time = headers[TIME] ?: return null
        val nonce = headers[NONCE] ?: return null
        val code = headers[SIGNATURE] ?: return null
        return MessageSignature(time, nonce, code)
    }

    /** Calls [add] with the name and value of each header of [signature]. */
    fun write(
        signature: MessageSignature,
        add: (String, String) -> Unit,
    ) {
        add(TIME, signature.wallMilliseconds)
        add(NONCE, signature.nonce)
        add(SIGNATURE, signature.code)
    }

    /** Returns the size of [headers] in bytes as HTTP/1.1 encodes them. */
    fun bytesOf(headers: Headers): Int =
        headers.entries().sumOf { (name, values) -> values.sumOf { name.length + it.length + SEPARATOR_BYTES } }

    /** The size of `: ` and the line end. */
    private const val SEPARATOR_BYTES = 4
}

/** The paths on a node's control address. */
internal object ControlPaths {
    const val GOSSIP = "/control/gossip"
    const val CONFIGURATION = "/control/configuration"
    const val INSTANCES = "/control/instances"
}
