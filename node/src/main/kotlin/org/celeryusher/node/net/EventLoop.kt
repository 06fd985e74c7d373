package org.celeryusher.node.net

import io.github.oshai.kotlinlogging.KotlinLogging
import org.celeryusher.kernel.error.isRecoverable
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.runtime.OutOfMemoryExit
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.nio.channels.CancelledKeyException
import java.nio.channels.ClosedSelectorException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A channel that is registered with an [EventLoop]. */
internal interface RegisteredChannel {
    /** Handles that the operations in [ready], bits of [SelectionKey], are possible. Runs on the thread of the loop and must not block. */
    fun handleReadiness(ready: Int)

    /** Closes the channel. */
    fun close()
}

/**
 * The thread that waits until channels are ready.
 *
 * It polls at least every [POLL_INTERVAL], so that it can tell how long a channel may have been ready unnoticed: while the process gets too
 * little processor time, that is longer.
 */
internal class EventLoop(
    private val clock: ProcessClock,
) : AutoCloseable {
    private val selector = Selector.open()

    /** The receive buffers of all channels. */
    val buffers: ReceiveBuffers = ReceiveBuffers()
    private var polledAt = clock.now()
    private var isFirstOfPoll = true

    /** The earliest time at which the channel that is being handled can have become ready. Only valid on the thread of the loop. */
    var readySince: Moment = polledAt
        private set

    private val thread = Thread(::run, "network").apply { isDaemon = true }

    /** Starts to wait for the registered channels. */
    fun start(): Unit = thread.start()

    /**
     * Registers [channel], without an interest in any operation yet.
     *
     * @throws IOException when the loop was closed.
     */
    fun register(
        channel: SelectableChannel,
        owner: RegisteredChannel,
    ): SelectionKey =
        try {
            channel.register(selector, 0, owner)
        } catch (error: ClosedSelectorException) {
            throw IOException("the network was closed", error)
        }

    /** Adds [operations] to the interest of [key]. */
    fun addInterest(
        key: SelectionKey,
        operations: Int,
    ) {
        try {
            if (key.interestOpsOr(operations) and operations != operations) wakeUp()
        } catch (_: CancelledKeyException) {
            // The channel was closed, which fails whoever waits for it.
        }
    }

    /** Removes [operations] from the interest of [key]. */
    fun removeInterest(
        key: SelectionKey,
        operations: Int,
    ) {
        try {
            key.interestOpsAnd(operations.inv())
        } catch (_: CancelledKeyException) {
            // The channel was closed, and has no interest any more.
        }
    }

    /** Makes the loop notice that a channel was closed or that its interest has changed. */
    fun wakeUp() {
        if (Thread.currentThread() !== thread) selector.wakeup()
    }

    /** Closes all registered channels and ends the loop. */
    override fun close() {
        if (!selector.isOpen) return
        selector.keys().map { it.attachment() as RegisteredChannel }.forEach(RegisteredChannel::close)
        selector.close()
    }

    private fun run() {
        try {
            while (selector.isOpen) pollSafely()
        } catch (_: ClosedSelectorException) {
            // The network was closed.
        } catch (error: IOException) {
            logger.error(error) { "waiting for ready channels failed; this node can no longer communicate" }
        }
    }

    private fun pollSafely() {
        try {
            poll()
        } catch (error: OutOfMemoryError) {
            OutOfMemoryExit.exit(error)
        }
    }

    private fun poll() {
        isFirstOfPoll = true
        selector.select(::handle, POLL_INTERVAL.inWholeMilliseconds)
        if (isFirstOfPoll) polledAt = clock.now()
    }

    private fun handle(key: SelectionKey) {
        if (isFirstOfPoll) {
            isFirstOfPoll = false
            readySince = polledAt
            polledAt = clock.now()
        }
        val owner = key.attachment() as RegisteredChannel
        try {
            owner.handleReadiness(key.readyOps())
        } catch (_: CancelledKeyException) {
            // The channel was closed meanwhile.
        } catch (error: Throwable) {
            if (!error.isRecoverable) throw error
            logger.error(error) { "handling a ready channel failed; the channel is closed" }
            owner.close()
        }
    }

    companion object {
        /** The maximum time between two polls of a process that gets enough processor time; small compared with every deadline. */
        val POLL_INTERVAL: Duration = 50.milliseconds
        private val logger = KotlinLogging.logger {}
    }
}
