package org.celeryusher.node.http

import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.configuration.CallerLimits
import org.celeryusher.node.net.CallerConnection
import org.celeryusher.node.net.MessageMemory
import org.celeryusher.node.net.MessageMemoryException
import org.celeryusher.node.net.PipelinedRequestException
import org.celeryusher.node.net.SlowSenderException
import java.io.EOFException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A part of a request that was read, or why it was not. */
internal sealed interface ReadResult<out T> {
    data class Done<T>(
        val value: T,
    ) : ReadResult<T>

    data class Failed(
        val fault: RequestFault,
        val detail: String,
    ) : ReadResult<Nothing>

    data object EndOfStream : ReadResult<Nothing>
}

/** Reads one request from the [stream] of [connection] within [limits]. */
internal class RequestReader(
    private val stream: HttpStream,
    private val connection: CallerConnection,
    private val limits: CallerLimits,
) {
    /** Reads the head. */
    suspend fun readHead(): ReadResult<RequestHead> =
        readWithin(limits.headerTimeoutMilliseconds.milliseconds, RequestFault.HEAD_TOO_LARGE) {
            connection.begin()
            stream.readHead(limits.maximumHeaderBytes)?.let(RequestHead::parse)
        }

    /** Reads the body that follows [head]. */
    suspend fun readBody(head: RequestHead): ReadResult<ByteArray> =
        readWithin(limits.idleTimeoutMilliseconds.milliseconds, RequestFault.BODY_TOO_LARGE) {
            val framing = head.framing()
            if (framing is BodyFraming.Length) checkLength(framing.bytes)
            if (framing != BodyFraming.Length(0) && head.headers.hasToken("Expect", "100-continue")) stream.write(CONTINUE)
            stream.readBody(framing, limits.maximumBodyBytes)
        }

    /** Records that the request is complete, unless it must not run. [isSentAhead] states whether it came before the previous response. */
    suspend fun admit(isSentAhead: Boolean): ReadResult<Unit> =
        readWithin(limits.idleTimeoutMilliseconds.milliseconds, RequestFault.BODY_TOO_LARGE) {
            connection.admit(isPipelined = isSentAhead || stream.hasNextMessage)
        }

    /** Refuses a body that this node can never hold before any of it is read. */
    private fun checkLength(bytes: Long) {
        val largest = connection.largestRequestBytes / MessageMemory.COPIES
        if (bytes > largest) throw MessageTooLargeException("the body has $bytes bytes, more than the $largest that this node can hold")
    }

    private suspend fun <T : Any> readWithin(
        limit: Duration,
        tooLarge: RequestFault,
        read: suspend () -> T?,
    ): ReadResult<T> =
        try {
            withTimeoutOrNull(limit) { read()?.let { ReadResult.Done(it) } ?: ReadResult.EndOfStream }
                ?: ReadResult.Failed(RequestFault.TIMED_OUT, "not whole within $limit")
        } catch (error: MalformedMessageException) {
            ReadResult.Failed(RequestFault.MALFORMED, error.message.orEmpty())
        } catch (error: MessageTooLargeException) {
            ReadResult.Failed(tooLarge, error.message.orEmpty())
        } catch (error: MessageMemoryException) {
            ReadResult.Failed(if (error.isPermanent) tooLarge else RequestFault.TOO_LITTLE_MEMORY, error.message.orEmpty())
        } catch (error: PipelinedRequestException) {
            ReadResult.Failed(RequestFault.TOO_MANY_PIPELINED, error.message.orEmpty())
        } catch (error: SlowSenderException) {
            ReadResult.Failed(RequestFault.TIMED_OUT, error.message.orEmpty())
        } catch (error: EOFException) {
            ReadResult.Failed(RequestFault.ENDED_EARLY, error.message.orEmpty())
        }

    private companion object {
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray(Charsets.ISO_8859_1)
    }
}
