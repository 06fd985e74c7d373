package org.celeryusher.node.call

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.RemoteClock
import org.celeryusher.kernel.execution.RemoteClockReadings
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.membership.PathAction
import org.celeryusher.kernel.membership.PathLiveness
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** What a proxy waits for on a connection to a guard. */
internal enum class ExchangeKind {
    /** A call that runs at most once. It is lost only with the connection. */
    CALL_ONCE,

    /** A call that may be repeated elsewhere. */
    REPEATABLE_CALL,

    /** A query, which may be repeated elsewhere and does not count as a waiting call. */
    QUERY,
}

/** An open connection to one guard, on which exchanges are multiplexed. */
internal class GuardConnection private constructor(
    private val address: Address,
    private val clock: ProcessClock,
    private val unmatchedAnswers: AtomicLong,
    private val paths: PathReports,
) {
    private class Pending(
        val kind: ExchangeKind,
    ) {
        val answer = CompletableDeferred<Frame>()

        @Volatile
        var isLost = false
    }

    private val pending = ConcurrentHashMap<Long, Pending>()
    private val waitingCalls = AtomicInteger()
    private val liveness = PathLiveness()
    private var sentAtLastCheck = 0L
    private val handshake = CompletableDeferred<Frame.Hello>()
    private lateinit var frames: FrameConnection
    private lateinit var hello: Frame.Hello

    /** The readings of the guard's clock. */
    @Volatile
    lateinit var clockReadings: RemoteClockReadings
        private set

    /** Whether new calls need another connection, since this one has been silent for too long. */
    @Volatile
    var isReplaced: Boolean = false
        private set

    val isOpen: Boolean get() = frames.isOpen
    val isIdle: Boolean get() = pending.isEmpty()
    val receivedBytes: Long get() = frames.receivedBytes
    val receivedLargeBytes: Long get() = frames.receivedLargeBytes
    val processStart: Long get() = hello.processStart
    val answersCrashQueries: Boolean get() = hello.answersCrashQueries
    val grantsRetries: Boolean get() = hello.grantsRetries

    /** Whether nothing arrives although calls wait, so that new calls should go elsewhere. */
    val isSuspected: Boolean get() = synchronized(liveness) { liveness.isSuspected }

    /** Records a reading of the guard's clock. */
    fun updateClock(uptime: Uptime?) {
        if (uptime != null) clockReadings = clockReadings.with(RemoteClock(uptime, clock.now()))
    }

    /** Sends [frame] as [exchange] and awaits the answer within [receive], which returns null when it gives up. */
    suspend fun exchange(
        exchange: Long,
        kind: ExchangeKind,
        frame: Frame,
        receive: suspend (CompletableDeferred<Frame>) -> Frame?,
    ): Frame? {
        val own = Pending(kind)
        pending[exchange] = own
        if (kind != ExchangeKind.QUERY &&
            waitingCalls.getAndIncrement() == 0
        ) {
            synchronized(liveness) { liveness.recordFirstCall(clock.now()) }
        }
        try {
            if (!frames.sendSuspending(frame)) return NOT_SENT
            if (!frames.isOpen) own.answer.complete(LOST)
            return receive(own.answer)
        } finally {
            pending.remove(exchange)
            if (kind != ExchangeKind.QUERY) waitingCalls.decrementAndGet()
            if (!own.answer.isCompleted || own.isLost) frames.send(Frame.Cancel(exchange))
            closeIfUnused()
        }
    }

    /**
     * Sends a ping, or gives up exchanges or the connection, if nothing has arrived for too long although calls wait.
     *
     * Returns whether a ping is unanswered.
     */
    fun checkLiveness(
        now: Moment,
        interval: Duration,
    ): Boolean {
        if (!hello.answersPings || !frames.isOpen) return false
        val action =
            synchronized(liveness) {
                if (waitingCalls.get() == 0 && !liveness.isProbing) return false
                if (isSending()) liveness.recordSending(now)
                liveness.check(now, interval)
            }
        when (action) {
            is PathAction.None -> Unit
            is PathAction.Ping -> frames.send(Frame.Ping())
            is PathAction.Suspect -> {
                paths.recordSuspected(address)
                failAll { it != ExchangeKind.CALL_ONCE }
            }
            is PathAction.Replace -> {
                if (!isReplaced) paths.recordReplaced(address)
                isReplaced = true
                closeIfUnused()
            }
        }
        return isProbing && !isReplaced
    }

    private val isProbing: Boolean get() = frames.isOpen && synchronized(liveness) { liveness.isProbing }

    /** Returns whether the other node has taken bytes since the last check of those that wait to be sent. */
    private fun isSending(): Boolean {
        val sent = frames.sentBytes
        val hasProgress = frames.unsentFrames > 0 && sent != sentAtLastCheck
        sentAtLastCheck = sent
        return hasProgress
    }

    fun close(): Unit = frames.close()

    private fun closeIfUnused() {
        if (isReplaced && isIdle) frames.close()
    }

    private fun receive(frame: Frame) {
        val call = pending.remove(frame.exchange)
        if (call == null) unmatchedAnswers.incrementAndGet() else call.answer.complete(frame)
    }

    private fun failAll(isLost: (ExchangeKind) -> Boolean) {
        for (waiting in pending.values.filter { isLost(it.kind) }) {
            waiting.isLost = true
            waiting.answer.complete(LOST)
        }
    }

    companion object {
        /** The placeholder answer to an exchange that was sent on a connection which was then lost. */
        val LOST = Frame.Failure(0, ErrorKind.CONNECTION_LOST, "")

        /** The placeholder answer to an exchange that was never sent. */
        val NOT_SENT = Frame.Failure(0, ErrorKind.CONNECTION_REFUSED, "")

        /**
         * Connects to the guard at [address] and waits for its first frame.
         *
         * @throws IOException when there is no connection.
         */
        suspend fun open(
            address: Address,
            network: TcpNetwork,
            scope: CoroutineScope,
            clock: ProcessClock,
            maximumFrameBytes: Int,
            unmatchedAnswers: AtomicLong,
            paths: PathReports,
            onLoad: (Address, GuardLoad) -> Unit,
        ): GuardConnection {
            val opened = GuardConnection(address, clock, unmatchedAnswers, paths)
            val handshake = opened.handshake
            val frames =
                FrameConnection(
                    network.connect(address),
                    maximumFrameBytes,
                    network.memory,
                    onFrame = { _, frame ->
                        when (frame) {
                            is Frame.Hello -> handshake.complete(frame)
                            is Frame.LoadReport -> onLoad(address, frame.load)
                            is Frame.Pong -> Unit
                            else -> opened.receive(frame)
                        }
                    },
                    onClosed = { _, cause ->
                        handshake.completeExceptionally(IOException("the connection to $address was closed during the handshake", cause))
                        opened.failAll { true }
                    },
                    onBytes = { synchronized(opened.liveness) { opened.liveness.recordReceived(clock.now()) } },
                )
            opened.frames = frames
            frames.start(scope)
            var isComplete = false
            try {
                opened.hello = handshake.await()
                opened.clockReadings = RemoteClockReadings(RemoteClock(opened.hello.uptime, clock.now()))
                isComplete = true
                return opened
            } finally {
                if (!isComplete) frames.close()
            }
        }
    }
}
