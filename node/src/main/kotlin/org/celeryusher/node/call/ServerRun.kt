package org.celeryusher.node.call

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration.Companion.milliseconds

/** Runs started tasks on the backend server, within their deadlines. */
internal class ServerRun(
    private val client: BackendServerClient,
    private val clock: ProcessClock,
) {
    /** Runs [task] and returns its result; cancelling the caller closes the connection, by which the server learns of it. */
    suspend fun run(task: GuardTask): CallResult {
        val left = task.deadline - clock.now()
        val result =
            withTimeoutOrNull(left + ANSWER_GRACE) {
                client.run(task.call.request, left.inWholeMilliseconds.coerceAtLeast(0), task.call.server)
            } ?: CallResult.Failed(ErrorKind.DEADLINE_WHILE_RUNNING)
        val isLost = result is CallResult.Failed && result.kind == ErrorKind.CONNECTION_LOST
        return if (isLost && hasStopped()) CallResult.Failed(ErrorKind.SERVER_CRASHED, result.detail) else result
    }

    // A server also closes single connections while it lives; only one that takes no new ones has stopped.
    private suspend fun hasStopped(): Boolean {
        delay(CLOSING_TIME)
        return !client.isListening()
    }

    private companion object {
        /** How long the server's own answer to a passed deadline may take to come; shorter than a caller would notice. */
        val ANSWER_GRACE = 40.milliseconds

        /** The sockets of a process that ends are closed one after the other; this is longer than that takes. */
        val CLOSING_TIME = 20.milliseconds
    }
}
