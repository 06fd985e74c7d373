package org.celeryusher.node.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.CallerConnection
import org.celeryusher.node.net.EventLoop
import org.celeryusher.node.net.MessageMemoryException
import org.celeryusher.node.net.SlowSenderException
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** Watches whether the client of [stream] disconnects while its request is handled. */
internal class DisconnectWatch(
    private val stream: HttpStream,
    private val connection: CallerConnection,
) {
    /**
     * Returns whether the client had closed the connection a while before [now], so that nobody waits for the response.
     *
     * A client that has only just closed its sending side may still read the response.
     */
    fun hasClientLeft(now: Moment): Boolean = stream.isEnded && now - stream.receivedSince > HALF_CLOSE_GRACE + EventLoop.POLL_INTERVAL

    /** Returns the result of [answer], or null when the client disconnects before it is ready. */
    suspend fun <T : Any> answerUnlessDisconnected(answer: suspend () -> T): T? =
        coroutineScope {
            val response = async { answer() }
            val watch = launch(start = CoroutineStart.UNDISPATCHED) { cancelOnDisconnect(response) }
            try {
                response.await()
            } catch (_: ClientDisconnectedException) {
                null
            } finally {
                watch.cancelAndJoin()
            }
        }

    private suspend fun cancelOnDisconnect(response: Deferred<*>) {
        try {
            do {
                // A client that sends further requests ahead is not read on, so that it cannot make this node hold them.
                if (!connection.mayReadAhead(stream.bufferedBytes)) awaitCancellation()
            } while (fill())
            // A client may close only its sending side (half-close); a response that is nearly ready can still reach it.
            delay(HALF_CLOSE_GRACE)
            response.cancel(ClientDisconnectedException("the client closed the connection"))
        } catch (error: IOException) {
            response.cancel(ClientDisconnectedException("the connection to the client was lost: ${error.message}"))
        }
    }

    /** Reads on; an interruption that was decided before the request was admitted says nothing about the client. */
    private suspend fun fill(): Boolean =
        try {
            stream.fill()
        } catch (_: SlowSenderException) {
            true
        } catch (_: MessageMemoryException) {
            true
        }

    private class ClientDisconnectedException(
        message: String,
    ) : CancellationException(message)

    private companion object {
        /**
         * How long a call continues after the client has closed its sending side.
         *
         * It is short compared with the 500 ms in which abandoned work must end.
         */
        val HALF_CLOSE_GRACE = 50.milliseconds
    }
}
