package org.celeryusher.node.call

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration.Companion.milliseconds

/** Runs admitted attempts on the backend server, within their deadlines. */
internal class AttemptExecutor(
    private val client: BackendServerClient,
    private val clock: ProcessClock,
) {
    /** Runs [task] and returns the reply. Cancellation closes the connection, which signals it to the server. */
    suspend fun run(task: GuardTask): ServerReply {
        val left = task.deadline - clock.now()
        val reply =
            withTimeoutOrNull(left + ANSWER_GRACE) {
                client.run(task.call.request, left.inWholeMilliseconds.coerceAtLeast(0), task.call.server)
            } ?: ServerReply(CallResult.Failed(ErrorKind.DEADLINE_WHILE_RUNNING))
        val result = reply.result
        val isLost = result is CallResult.Failed && result.kind == ErrorKind.CONNECTION_LOST
        return if (isLost && hasStopped()) ServerReply(CallResult.Failed(ErrorKind.SERVER_CRASHED, result.detail)) else reply
    }

    // A running server may also close single connections. Only a server that accepts no new connections has stopped.
    private suspend fun hasStopped(): Boolean {
        delay(SOCKET_CLOSE_TIME)
        return !client.isListening()
    }

    private companion object {
        /** The extra time for the server's own answer after the deadline has passed; too short for a caller to notice. */
        val ANSWER_GRACE = 40.milliseconds

        /** When a process exits, its sockets are closed one after the other. This is longer than that takes. */
        val SOCKET_CLOSE_TIME = 20.milliseconds
    }
}
