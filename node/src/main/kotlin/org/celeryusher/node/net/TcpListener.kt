package org.celeryusher.node.net

import io.github.oshai.kotlinlogging.KotlinLogging
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.runtime.OutOfMemoryExit
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/** A listening TCP socket. */
internal class TcpListener(
    private val channel: ServerSocketChannel,
    private val loop: EventLoop,
    private val clock: ProcessClock,
    /** Returns the link to a peer, or null if it is not limited. */
    private val linkTo: (InetAddress) -> OutgoingLink? = { null },
) : RegisteredChannel {
    private val key: SelectionKey = loop.register(channel, this)

    @Volatile
    private var onAccept: (TcpConnection) -> Unit = TcpConnection::close

    /** The earliest arrival of the connections in the backlog that the last pass left, or null if it left none. */
    private var leftSince: Moment? = null
    private var passes = 0

    /** Whether the listener still accepts connections. */
    val isOpen: Boolean get() = channel.isOpen

    /**
     * Passes each connection to [onAccept] until the listener is closed. [onAccept] runs on the network thread and must not block.
     *
     * Connections are accepted without a coroutine: under load a coroutine is scheduled after all others, so that callers who open a
     * connection for each request would wait in the backlog. After a failure, such as too many open file descriptors, it retries after a
     * delay.
     */
    fun acceptEach(onAccept: (TcpConnection) -> Unit) {
        this.onAccept = onAccept
        loop.addInterest(key, SelectionKey.OP_ACCEPT)
    }

    override fun handleReadiness(ready: Int) {
        try {
            val since = leftSince ?: loop.readySince
            leftSince = null
            repeat(MAXIMUM_ACCEPTS_AT_ONCE) { accept(channel.accept() ?: return, since) }
            passes++
            // By then, all connections that waited in the backlog at that time are accepted.
            leftSince = if (passes % PASSES_FOR_BACKLOG == 0) null else since
        } catch (_: ClosedChannelException) {
            // The listener was closed.
        } catch (error: IOException) {
            logger.warn { "could not accept a connection, will retry: ${error.message}" }
            loop.removeInterest(key, SelectionKey.OP_ACCEPT)
            acceptRetryExecutor.execute { loop.addInterest(key, SelectionKey.OP_ACCEPT) }
        }
    }

    /** Stops listening. */
    override fun close() {
        channel.close()
        loop.wakeUp()
    }

    private fun accept(
        accepted: SocketChannel,
        since: Moment,
    ) {
        try {
            accepted.configureBlocking(false)
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true)
            // Ends connections whose peer has vanished; those for frames have no idle limit.
            accepted.setOption(StandardSocketOptions.SO_KEEPALIVE, true)
            val remote = (accepted.remoteAddress as? InetSocketAddress)?.address
            onAccept(TcpConnection(accepted, loop, clock, openedAt = since, remote?.let(linkTo)))
        } catch (error: IOException) {
            logger.debug { "an accepted connection failed: ${error.message}" }
            accepted.close()
        } catch (error: OutOfMemoryError) {
            OutOfMemoryExit.exit(error)
        }
    }

    private companion object {
        /**
         * The number of connections accepted before closed ones are released, which the JDK does between two polls.
         *
         * A closed connection keeps its descriptor until then, so that more at once would exceed the bound on connections.
         */
        const val MAXIMUM_ACCEPTS_AT_ONCE = 16
        const val PASSES_FOR_BACKLOG = TcpNetwork.ACCEPT_BACKLOG / MAXIMUM_ACCEPTS_AT_ONCE

        /** The delay after a failed accept, in which other connections may end; short compared with the connect timeouts of callers. */
        const val ACCEPT_RETRY_DELAY_MILLISECONDS = 100L
        val acceptRetryExecutor: Executor = CompletableFuture.delayedExecutor(ACCEPT_RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
        val logger = KotlinLogging.logger {}
    }
}
