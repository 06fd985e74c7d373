package org.celeryusher.node.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.isRecoverable
import org.celeryusher.node.net.MessageMemoryException
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext

/** The exchanges in progress on one accepted connection of another node. */
internal class FrameExchanges(
    private val scope: CoroutineScope,
) {
    private val running = ConcurrentHashMap<Long, Job>()

    /** Computes the answer to [exchange] and sends it. Until it is sent, the exchange can be cancelled by its number. */
    fun launch(
        connection: FrameConnection,
        exchange: Long,
        answer: suspend () -> Frame,
    ) {
        if (begin(connection, exchange)) launchBegun(connection, exchange, EmptyCoroutineContext, answer)
    }

    /** Charges [exchange] to [connection] and returns true, or refuses it alone: the other exchanges on the connection continue. */
    fun begin(
        connection: FrameConnection,
        exchange: Long,
    ): Boolean =
        try {
            connection.beginExchange()
            true
        } catch (_: MessageMemoryException) {
            connection.send(
                Frame.Failure(exchange, ErrorKind.OVERLOADED, "too little memory for the exchange", MEMORY_RETRY_AFTER_MILLISECONDS),
            )
            false
        }

    /** Does the same as [launch], in [context], for an exchange that [begin] has charged to [connection]. */
    fun launchBegun(
        connection: FrameConnection,
        exchange: Long,
        context: CoroutineContext,
        answer: suspend () -> Frame,
    ): Job {
        val job = scope.launch(context, start = CoroutineStart.LAZY) { connection.sendSuspending(answerOrFailure(exchange, answer)) }
        running[exchange] = job
        job.invokeOnCompletion {
            running.remove(exchange)
            connection.endExchange()
        }
        job.start()
        return job
    }

    /** Records that the other node waits for the answer to [exchange] no longer. */
    fun cancel(exchange: Long) {
        running[exchange]?.cancel()
    }

    /** Cancels all exchanges; their connection is closed. */
    fun cancelAll(): Unit = running.values.forEach(Job::cancel)

    // Without an answer, the other node would wait until the deadline of the call.
    private suspend fun answerOrFailure(
        exchange: Long,
        answer: suspend () -> Frame,
    ): Frame =
        try {
            answer()
        } catch (error: CancellationException) {
            throw error
        } catch (error: Throwable) {
            if (!error.isRecoverable) throw error
            logger.error(error) { "internal error while handling a frame of another node" }
            Frame.Failure(exchange, ErrorKind.INTERNAL, error.javaClass.simpleName)
        }

    private companion object {
        /** When an exchange that was refused for lack of memory may be tried again; by then stalled connections are closed. */
        const val MEMORY_RETRY_AFTER_MILLISECONDS = 1_000L

        val logger = KotlinLogging.logger {}
    }
}
