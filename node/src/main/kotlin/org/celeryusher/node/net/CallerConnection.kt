package org.celeryusher.node.net

import org.celeryusher.kernel.admission.CallerCause
import org.celeryusher.kernel.admission.CallerPhase
import org.celeryusher.kernel.admission.CallerPort
import org.celeryusher.kernel.admission.HeldConnection
import org.celeryusher.kernel.time.Moment
import java.io.IOException
import kotlin.time.Duration

/** Thrown when a caller sends a request more slowly than the minimum rate. */
internal class SlowSenderException : IOException("the request arrived more slowly than the minimum rate")

/** Thrown when a request is refused because too many pipelined ones are in progress. */
internal class PipelinedRequestException : IOException("too many pipelined requests are in progress; wait for each response")

/** An accepted connection whose memory is charged to [ledger]. */
internal class CallerConnection(
    val tcp: TcpConnection,
    port: CallerPort,
    openedAt: Moment,
    private val ledger: CallerLedger,
) : HeldConnection(port, openedAt),
    BodyGate,
    TransferObserver {
    override val isReceiving: Boolean get() = phase == CallerPhase.RECEIVING

    /** Counts the frames to the other node that wait to be sent, on a connection for frames. */
    @Volatile
    var unsentFrames: () -> Int = { 0 }

    override val hasUnsentFrames: Boolean get() = unsentFrames() > 0

    override fun hold(bytes: Long): Unit = ledger.hold(this, bytes)

    override fun recordTransfer(bytes: Int) {
        if (bytes > 0) recordProgress(bytes, ledger.now())
    }

    /**
     * Records that a request or a frame begins to arrive.
     *
     * @throws MessageMemoryException when there is too little memory for its buffers.
     */
    fun begin(): Unit = ledger.begin(this)

    /**
     * Records that the request is complete and is passed on. [isPipelined] states whether others were sent ahead with it.
     *
     * @throws IOException when it must not run: its connection is being closed, or too many pipelined requests are in progress.
     */
    fun admit(isPipelined: Boolean) {
        val refusal = ledger.admit(this, isPipelined)
        val interruption = tcp.clearInterruption()
        when (refusal) {
            null -> Unit
            CallerCause.PIPELINED -> throw PipelinedRequestException()
            else -> throw interruption ?: MessageMemoryException("the request was dropped to make room")
        }
    }

    /**
     * Records that a response of [bytes] is sent, of which [uncharged] are charged to no account.
     *
     * @throws MessageMemoryException when there is too little memory for it.
     */
    fun send(
        bytes: Long,
        uncharged: Long,
    ): Unit = ledger.send(this, bytes, uncharged)

    /** Records that the exchange has ended. */
    fun finish(): Unit = ledger.finish(this)

    /** Records that a refusal has been sent, after which the connection carries nothing more. */
    fun finishRefused(): Unit = ledger.finishRefused(this)

    /** Records that a valid frame has arrived. */
    fun prove(): Unit = ledger.prove(this)

    /**
     * Charges [bytes] more of a frame.
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun holdFrame(bytes: Long): Unit = ledger.holdFrame(this, bytes)

    /**
     * Records that an exchange with the node at the other end begins.
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun beginExchange(): Unit = ledger.beginExchange(this)

    /** Records that an exchange has ended. */
    fun endExchange(): Unit = ledger.endExchange(this)

    /** Records that [bytes] of what the connection was charged are released. */
    fun release(bytes: Long): Unit = ledger.release(this, bytes)

    /** How long the peer of a connection for frames may leave it unread. */
    val stallLimit: Duration get() = ledger.stallLimit

    /** Whether more may be read while a request is in progress and [buffered] bytes are unconsumed. */
    fun mayReadAhead(buffered: Int): Boolean = ledger.mayReadAhead(buffered)

    /** The most bytes that one request can hold here. */
    val largestRequestBytes: Long get() = ledger.largestRequestBytes(port)

    /** Releases all that the connection holds; it is closed. */
    fun close(): Unit = ledger.close(this)

    /** Ends the connection because of [cause]. A request that is still arriving is refused with a response where there is time for it. */
    fun evict(cause: CallerCause) {
        val isAnswerable = isReceiving && port != CallerPort.FRAMES
        when {
            // It was complete before it could be ended; the listener closes the connection after the response.
            phase == CallerPhase.ADMITTED -> Unit

            isAnswerable && cause == CallerCause.SLOW_SENDER -> tcp.interruptRead(SlowSenderException())

            isAnswerable && mayAnswer(cause) -> tcp.interruptRead(MessageMemoryException("the request was dropped to make room"))

            // Its request has arrived unnoticed meanwhile, and is refused with a response since it gets no memory.
            phase == CallerPhase.IDLE && !isRefused && port != CallerPort.FRAMES && mayAnswer(cause) && !tcp.isIdle -> Unit

            else -> closeNow()
        }
    }

    private fun closeNow() {
        tcp.close()
        // Its descriptor is free with the next poll, and the coroutine that serves it ends without holding more.
        close()
    }

    private fun mayAnswer(cause: CallerCause): Boolean =
        when (cause) {
            CallerCause.MEMORY -> true
            CallerCause.CONNECTIONS -> ledger.mayAnswerReplaced(port)
            CallerCause.TOO_LARGE, CallerCause.PIPELINED, CallerCause.SLOW_SENDER, CallerCause.SLOW_READER -> false
        }
}
