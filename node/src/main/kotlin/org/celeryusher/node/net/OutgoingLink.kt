package org.celeryusher.node.net

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.admission.LinkBacklog
import org.celeryusher.kernel.admission.LinkSchedule
import org.celeryusher.kernel.admission.LinkTurns
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The link of this instance to all others, which all its connections share. Connections within the instance do not use it. */
internal class OutgoingLink(
    megabitsPerSecond: Double,
    private val clock: ProcessClock,
) {
    private val schedule = LinkSchedule(megabitsPerSecond * BYTES_PER_MEGABIT, clock.now())
    private val turns = LinkTurns()

    /** The messages that wait for a turn, by number. Protected, as [turns], by the monitor of [schedule]. */
    private val waiting = HashMap<Long, Message>()
    private val waitingBytes = AtomicLong()
    private val waitingMessages = AtomicInteger()
    private val begunMessages = AtomicLong()
    private val droppedMessages = AtomicLong()
    private val refusedCalls = AtomicLong()

    /** What waits to be sent in turns. */
    val backlog: LinkBacklog
        get() = LinkBacklog(waitingBytes.get(), synchronized(schedule) { schedule.bytesPerSecondOfLarge(clock.now()) })

    /** The state of the link for operators. */
    val status: LinkStatus
        get() {
            val now = backlog
            val wait = now.waitingBytes / now.bytesPerSecond * MILLISECONDS_PER_SECOND
            return LinkStatus(
                waitingMessages.get(),
                now.waitingBytes,
                wait.toLong(),
                now.bytesPerSecond.toLong(),
                begunMessages.get(),
                droppedMessages.get(),
                refusedCalls.get(),
            )
        }

    /** Records that a call was refused because its answer could not be sent in time. */
    fun recordRefusal() {
        refusedCalls.incrementAndGet()
    }

    /** Records that [bytes] were sent without waiting for a turn. */
    fun recordSent(bytes: Int): Unit = synchronized(schedule) { schedule.recordSent(bytes, clock.now()) }

    /** Whether a part of a large message takes so long that small ones should not wait behind it. */
    val isSlow: Boolean = LinkSchedule.PART_BYTES / schedule.bytesPerSecond > SLOW_PART_SECONDS

    /** Returns the place of a large message of [size] bytes that comes now. Its bytes count as waiting until they are sent or it is closed. */
    fun enter(size: Int): Message = Message(size)

    /**
     * Sends a large message of [size] bytes in parts, each when it may be sent: [sendUntil] sends up to the position that it is given.
     *
     * @throws IOException when the connection is no longer open.
     */
    suspend fun sendInTurns(
        size: Int,
        isOpen: () -> Boolean,
        sendUntil: suspend (Int) -> Unit,
    ): Unit = enter(size).use { it.send(isOpen, sendUntil) }

    /** A large message that waits for the link or is being sent. */
    inner class Message(
        private val size: Int,
    ) : AutoCloseable {
        private val number = synchronized(schedule) { turns.enter() }
        private val isNext = Channel<Unit>(Channel.CONFLATED)
        private var left = size
        private var countedBytes = 0
        private var isClosed = false

        /** The bytes of the next part if its turn has come already, else 0. */
        private var granted = 0

        init {
            countWaiting(size)
            waitingMessages.incrementAndGet()
        }

        /** Waits for the turn of the first part, which [send] then sends at once. */
        suspend fun awaitFirstTurn() {
            granted = awaitTurn {}
        }

        /** Sends the message as [sendInTurns] does. */
        suspend fun send(
            isOpen: () -> Boolean,
            sendUntil: suspend (Int) -> Unit,
        ) {
            while (left > 0) {
                if (granted == 0) granted = awaitTurn { if (isOpen()) sendSignOfLife(sendUntil) }
                if (granted == 0) return
                if (!isOpen()) throw IOException("the connection was closed while its message waited for the link")
                val part = granted
                granted = 0
                sendPart(part, sendUntil)
            }
        }

        /** Ends the waiting of what has not been sent. */
        override fun close() {
            if (isClosed) return
            isClosed = true
            waitingMessages.decrementAndGet()
            if (left == size) droppedMessages.incrementAndGet()
            synchronized(schedule) { schedule.giveBack(granted) }
            granted = 0
            countWaiting(0)
            left = 0
        }

        internal fun signal() {
            isNext.trySend(Unit)
        }

        // The other node takes a connection without a byte for a silent one, and pings wait behind a message that has begun.
        private suspend fun sendSignOfLife(sendUntil: suspend (Int) -> Unit) {
            val bytes = minOf(LIFE_BYTES, left)
            recordSent(bytes)
            sendPart(bytes, sendUntil)
        }

        private suspend fun sendPart(
            bytes: Int,
            sendUntil: suspend (Int) -> Unit,
        ) {
            if (left == size) begunMessages.incrementAndGet()
            left -= bytes
            // What waits for a peer that reads slowly does not wait for the link.
            countWaiting(0)
            sendUntil(size - left)
            countWaiting(left)
        }

        private fun countWaiting(bytes: Int) {
            waitingBytes.addAndGet((bytes - countedBytes).toLong())
            countedBytes = bytes
        }

        private fun enterTurns(): Unit =
            synchronized(schedule) {
                turns.await(number)
                waiting[number] = this
            }

        private fun leaveTurns() {
            synchronized(schedule) {
                turns.leave(number)
                waiting -= number
                waiting[turns.next]
            }?.signal()
        }

        private suspend fun awaitTurn(onWait: suspend () -> Unit): Int {
            enterTurns()
            var lifeAt = clock.now() + LIFE_INTERVAL
            try {
                while (left > 0) {
                    val part = minOf(LinkSchedule.PART_BYTES, left)
                    val wait = synchronized(schedule) { if (turns.next == number) schedule.take(part, clock.now()) else null }
                    if (wait == Duration.ZERO) return part
                    if (wait != null) {
                        delay(wait)
                    } else if (withTimeoutOrNull(lifeAt - clock.now()) { isNext.receive() } == null) {
                        // A peer that takes nothing must not hold up the messages behind this one.
                        leaveTurns()
                        onWait()
                        enterTurns()
                        lifeAt = clock.now() + LIFE_INTERVAL
                    }
                }
                return 0
            } finally {
                leaveTurns()
            }
        }
    }

    private companion object {
        const val BYTES_PER_MEGABIT = 125_000.0
        const val MILLISECONDS_PER_SECOND = 1_000

        /** About a tenth of the time that a call may take between data centres. */
        const val SLOW_PART_SECONDS = 0.001

        /** Shorter than the 200 ms without a byte after which the other node sends a ping. */
        val LIFE_INTERVAL = 150.milliseconds

        /** Less than 1% of a link of 10 Mbit/s for 20 messages that wait. */
        const val LIFE_BYTES = 64
    }
}
