package org.celeryusher.node.http

import org.celeryusher.kernel.admission.RequestHeadCost
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.BodyGate
import org.celeryusher.node.net.MessageMemory
import org.celeryusher.node.net.MessageMemoryException
import org.celeryusher.node.net.OutgoingLink
import org.celeryusher.node.net.TcpConnection
import java.io.EOFException
import java.io.IOException
import java.nio.ByteBuffer

/** Thrown when a message exceeds the size limit of its receiver. */
internal class MessageTooLargeException(
    message: String,
) : IOException(message)

/**
 * A TCP connection that carries HTTP/1.1 messages.
 *
 * Received bytes that are not consumed stay in a buffer, so that the owner of the connection can tell whether anything follows a message.
 * One coroutine may read while another one writes.
 */
internal class HttpStream(
    private val connection: TcpConnection,
    /** Decides on the memory for heads, or null on a connection to a server. */
    private val gate: BodyGate? = null,
) {
    private var buffer = NO_BYTES
    private var start = 0
    private var end = 0

    /** The number of bytes that have been received. */
    val receivedBytes: Long get() = connection.receivedBytes

    /** The number of received bytes that are not consumed yet. */
    val bufferedBytes: Int get() = end - start

    /** Whether bytes of a next message have been read; empty lines in between are skipped. */
    val hasNextMessage: Boolean
        get() {
            skipEmptyLines()
            return bufferedBytes > 0
        }

    /** Whether there are no unconsumed bytes and the peer has not closed the connection. */
    val isIdle: Boolean get() = bufferedBytes == 0 && connection.isIdle

    /** Whether the peer has closed the connection or its sending side, and all its bytes are consumed. */
    val isEnded: Boolean get() = bufferedBytes == 0 && connection.isEnded

    /** The earliest time at which the bytes that were last received can have arrived. */
    val receivedSince: Moment get() = connection.receivedSince

    /** Closes the connection. */
    fun close() {
        connection.close()
    }

    /**
     * Suspends until more bytes are received; returns false at the end of the stream.
     *
     * @throws IOException when the connection was reset.
     */
    suspend fun fill(): Boolean {
        if (start == end) {
            start = 0
            end = 0
        }
        if (end == buffer.size && end > 0) makeRoom()
        return connection.read(::consume)
    }

    /** Releases the memory that the last message needed beyond that of an ordinary one. */
    fun trim() {
        if (buffer.size <= INITIAL_BUFFER_BYTES) return
        buffer = if (start == end) NO_BYTES else buffer.copyOfRange(start, end)
        end -= start
        start = 0
    }

    /**
     * Returns the text of a message head without the empty line that ends it, or null when the stream ends before its first byte.
     *
     * Empty lines before the head are skipped, as RFC 9112 recommends; they count toward [maximumBytes].
     */
    suspend fun readHead(maximumBytes: Int): String? {
        var scanned = 0
        var skipped = 0
        while (true) {
            skipped += skipEmptyLines()
            if (skipped > maximumBytes) throw MessageTooLargeException("more than $maximumBytes bytes of empty lines precede the head")
            val length = headLength(scanned)
            if (length >= 0) return consumeHead(length, maximumBytes)
            if (bufferedBytes > maximumBytes) throw MessageTooLargeException("the head has more than $maximumBytes bytes")
            scanned = (bufferedBytes - HEAD_END_BYTES + 1).coerceAtLeast(0)
            if (!fill()) {
                if (bufferedBytes == 0) return null
                throw EOFException("the stream ended within a message head")
            }
        }
    }

    /**
     * Returns the complete body, which is delimited by [framing]. Its memory is charged to the account of the calling coroutine.
     *
     * @throws MessageMemoryException when there is too little memory for it.
     */
    suspend fun readBody(
        framing: BodyFraming,
        maximumBytes: Int,
    ): ByteArray =
        when (framing) {
            is BodyFraming.Length -> {
                if (framing.bytes >
                    maximumBytes
                ) {
                    throw MessageTooLargeException("the body has ${framing.bytes} bytes, more than $maximumBytes")
                }
                readExactly(framing.bytes.toInt())
            }

            is BodyFraming.Chunked -> {
                readChunks(maximumBytes)
            }

            is BodyFraming.UntilClose -> {
                readToEnd(maximumBytes)
            }
        }

    /** Discards the unconsumed bytes and returns their number. */
    fun discardBuffered(): Int = bufferedBytes.also { start = end }

    /** Sends [bytes]. */
    suspend fun write(
        bytes: ByteArray,
        place: OutgoingLink.Message? = null,
    ): Unit = connection.write(bytes, place = place)

    /** Returns the place on the link of a part of a message of [size] bytes to send, or null if such parts do not wait for it. */
    fun enterLink(size: Int): OutgoingLink.Message? = connection.enterLink(size)

    private suspend fun readChunks(maximumBytes: Int): ByteArray {
        val body = BodyBuffer(MessageMemory.account())
        while (true) {
            val size = chunkSize(readLine())
            if (size > maximumBytes - body.size) throw MessageTooLargeException("the body has more than $maximumBytes bytes")
            if (size == 0) break
            readInto(body, size)
            if (readLine().isNotEmpty()) throw MalformedMessageException("a chunk is longer than its size")
        }
        skipTrailers()
        return body.toByteArray()
    }

    private suspend fun readExactly(count: Int): ByteArray {
        if (count == 0) return NO_BYTES
        val body = BodyBuffer(MessageMemory.account(), expectedBytes = count)
        readInto(body, count)
        return body.toByteArray()
    }

    private suspend fun readInto(
        body: BodyBuffer,
        count: Int,
    ) {
        var left = count
        while (left > 0) {
            if (bufferedBytes == 0 && !fill()) throw EOFException("the stream ended $left bytes before the end of the body")
            val part = minOf(bufferedBytes, left)
            body.append(buffer, start, part)
            start += part
            left -= part
        }
    }

    private suspend fun readToEnd(maximumBytes: Int): ByteArray {
        val body = BodyBuffer(MessageMemory.account())
        do {
            if (bufferedBytes > maximumBytes - body.size) throw MessageTooLargeException("the body has more than $maximumBytes bytes")
            body.append(buffer, start, bufferedBytes)
            start = end
        } while (fill())
        return body.toByteArray()
    }

    private suspend fun skipTrailers() {
        var left = MAXIMUM_TRAILER_BYTES
        while (true) {
            val line = readLine()
            if (line.isEmpty()) return
            left -= line.length
            if (left < 0) throw MessageTooLargeException("the trailer fields have more than $MAXIMUM_TRAILER_BYTES bytes")
        }
    }

    private fun chunkSize(line: String): Int {
        val digits = line.substringBefore(';').trim()
        if (digits.length !in 1..MAXIMUM_CHUNK_SIZE_DIGITS) throw MalformedMessageException("a chunk size is not a number")
        return digits.toIntOrNull(HEXADECIMAL)?.takeIf { it >= 0 && digits[0] != '+' }
            ?: throw MalformedMessageException("a chunk size is not a number")
    }

    private suspend fun readLine(): String {
        var scanned = 0
        while (true) {
            val lineFeed = (start + scanned until end).firstOrNull { buffer[it] == LINE_FEED }
            if (lineFeed != null) {
                if (lineFeed == start ||
                    buffer[lineFeed - 1] != CARRIAGE_RETURN
                ) {
                    throw MalformedMessageException("a line ends without a carriage return")
                }
                val line = String(buffer, start, lineFeed - 1 - start, Charsets.ISO_8859_1)
                start = lineFeed + 1
                return line
            }
            if (bufferedBytes > MAXIMUM_CHUNK_LINE_BYTES) throw MalformedMessageException("a chunk line is too long")
            scanned = bufferedBytes
            if (!fill()) throw EOFException("the stream ended within a chunked body")
        }
    }

    /** Consumes empty lines and returns the number of their bytes. */
    private fun skipEmptyLines(): Int {
        val before = start
        while (bufferedBytes >= 2 && buffer[start] == CARRIAGE_RETURN && buffer[start + 1] == LINE_FEED) start += 2
        return start - before
    }

    /** Returns the length of the head without the empty line, or -1 when it is incomplete. The first [scanned] bytes are skipped. */
    private fun headLength(scanned: Int): Int {
        for (index in start + scanned..end - HEAD_END_BYTES) {
            val isEnd =
                buffer[index] == CARRIAGE_RETURN &&
                    buffer[index + 1] == LINE_FEED &&
                    buffer[index + 2] == CARRIAGE_RETURN &&
                    buffer[index + 3] == LINE_FEED
            if (isEnd) return index - start
        }
        return -1
    }

    private fun consumeHead(
        length: Int,
        maximumBytes: Int,
    ): String {
        if (length > maximumBytes) throw MessageTooLargeException("the head has $length bytes, more than $maximumBytes")
        if (gate != null) {
            val cost = RequestHeadCost.of(length, (start until start + length).count { buffer[it] == LINE_FEED })
            if (cost > 0) gate.hold(cost)
        }
        val text = String(buffer, start, length, Charsets.ISO_8859_1)
        start += length + HEAD_END_BYTES
        return text
    }

    /** Takes what fits of [received]. The buffer is allocated with the first bytes, so that a connection without any holds none. */
    private fun consume(received: ByteBuffer) {
        val needed = end + received.remaining()
        if (needed > buffer.size && buffer.size < FREE_BUFFER_BYTES) {
            buffer = buffer.copyOf(if (needed <= INITIAL_BUFFER_BYTES) INITIAL_BUFFER_BYTES else FREE_BUFFER_BYTES)
        }
        val count = minOf(received.remaining(), buffer.size - end)
        received.get(buffer, end, count)
        end += count
    }

    private fun makeRoom() {
        if (start > 0) {
            buffer.copyInto(buffer, 0, start, end)
            end -= start
            start = 0
        } else if (buffer.size >= FREE_BUFFER_BYTES) {
            gate?.hold(buffer.size.toLong())
            buffer = buffer.copyOf(buffer.size * 2)
        }
    }

    private companion object {
        const val INITIAL_BUFFER_BYTES = 4_096

        /** A buffer of this size is covered by what each connection of a caller is charged. */
        const val FREE_BUFFER_BYTES = 8_192
        const val MAXIMUM_CHUNK_LINE_BYTES = 4_096
        const val MAXIMUM_TRAILER_BYTES = 65_536
        const val MAXIMUM_CHUNK_SIZE_DIGITS = 8
        const val HEXADECIMAL = 16
        const val HEAD_END_BYTES = 4
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
        val NO_BYTES = ByteArray(0)
    }
}
