package org.celeryusher.node.http

import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.node.net.CallerConnection
import org.celeryusher.node.net.OutgoingLink
import kotlin.time.Duration.Companion.milliseconds

/** Sends responses on the [stream] of [connection]. */
internal class ResponseWriter(
    private val stream: HttpStream,
    private val connection: CallerConnection,
) {
    /**
     * Sends [message], of which [charged] bytes are charged to the account of the call.
     *
     * @throws org.celeryusher.node.net.MessageMemoryException when there is too little memory for it, before any of it is sent.
     */
    suspend fun write(
        message: List<ByteArray>,
        charged: Long,
        place: OutgoingLink.Message? = null,
    ) {
        val size = message.sumOf { it.size.toLong() }
        connection.send(size, uncharged = (size - charged).coerceAtLeast(0))
        // The minimum rate of readers ends a write that does not progress.
        message.forEachIndexed { index, part -> stream.write(part, place.takeIf { index == message.lastIndex }) }
    }

    /** Does the same as [write] when the last part of [message] may be sent; returns false if the client disconnects before, and sends nothing. */
    suspend fun writeInTurn(
        message: List<ByteArray>,
        charged: Long,
        watch: DisconnectWatch,
    ): Boolean {
        val place = stream.enterLink(message.last().size)
        if (place == null) {
            write(message, charged)
            return true
        }
        return place.use {
            val isConnected = watch.answerUnlessDisconnected { it.awaitFirstTurn() } != null
            if (isConnected) write(message, charged, it)
            isConnected
        }
    }

    /** Sends [response], which says why a request was not read, after which the connection is to be closed. */
    suspend fun reject(response: HttpResponse) {
        // What has arrived of the request is dropped already.
        connection.finish()
        write(HttpWriter.encode(response, "GET", isKeepAlive = false), charged = 0)
        // From now on, the connection may be closed at once for a new one.
        connection.finishRefused()
        // Closing a connection with unread bytes resets it, which may discard the response before the client has read it.
        withTimeoutOrNull(LINGER_TIMEOUT) { discard() }
    }

    private suspend fun discard() {
        var left = MAXIMUM_DISCARDED_BYTES
        while (left > 0) {
            stream.discardBuffered().also { left -= it }
            if (!stream.fill()) return
        }
    }

    private companion object {
        const val MAXIMUM_DISCARDED_BYTES = 1_048_576

        /** How long a rejected client may continue to send before its connection is closed; about one intercontinental round trip. */
        val LINGER_TIMEOUT = 300.milliseconds
    }
}
