package org.celeryusher.node.net

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.suspendCancellableCoroutine
import org.celeryusher.kernel.identity.Address
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousCloseException
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.ClosedChannelException
import java.nio.channels.CompletionHandler
import java.nio.channels.ShutdownChannelGroupException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit
import kotlin.coroutines.Continuation
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * Opens and accepts the TCP connections of one process, on the JDK's asynchronous channels.
 *
 * Ktor's sockets are not used because their writer busy-waits while the receive window of the peer is full (docs/decisions/platform.md).
 */
public class TcpNetwork : AutoCloseable {
    private val group =
        AsynchronousChannelGroup.withFixedThreadPool(1) { task -> Thread(task, "network").apply { isDaemon = true } }

    /**
     * Opens a connection to [address]. Cancellation closes it.
     *
     * @throws java.net.ConnectException when nothing listens there.
     */
    internal suspend fun connect(address: Address): TcpConnection {
        val channel = AsynchronousSocketChannel.open(group)
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            suspendCancellableCoroutine<Void?> { continuation ->
                continuation.invokeOnCancellation { channel.close() }
                channel.connect(socketAddressOf(address), continuation, ContinuationHandler())
            }
        } catch (error: IOException) {
            channel.close()
            throw error
        }
        return TcpConnection(channel)
    }

    /** Listens at [address]. */
    internal fun listen(address: Address): TcpListener {
        val channel = AsynchronousServerSocketChannel.open(group)
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            channel.bind(socketAddressOf(address), ACCEPT_BACKLOG)
        } catch (error: IOException) {
            channel.close()
            throw error
        }
        return TcpListener(channel)
    }

    override fun close(): Unit = group.shutdownNow()

    // The host is an IP address, so this does no DNS lookup.
    private fun socketAddressOf(address: Address): InetSocketAddress = InetSocketAddress(InetAddress.getByName(address.host), address.port)

    private companion object {
        /** The maximum number of connections that wait to be accepted: enough for all callers of a data centre to reconnect at once. */
        const val ACCEPT_BACKLOG = 1_024
    }
}

/** A listening TCP socket. */
internal class TcpListener(
    private val channel: AsynchronousServerSocketChannel,
) {
    /** Whether the listener still accepts connections. */
    val isOpen: Boolean get() = channel.isOpen

    /**
     * Passes each connection to [onAccept] until the listener is closed. [onAccept] runs on the network thread and must not block.
     *
     * Connections are accepted without a coroutine: under load a coroutine is scheduled after all others, so that callers who open a
     * connection for each request would wait in the backlog. After a failure, such as too many open file descriptors, it retries after a
     * delay.
     */
    fun acceptEach(onAccept: (TcpConnection) -> Unit): Unit = acceptNext(AcceptHandler(onAccept))

    private fun acceptNext(accepted: AcceptHandler) {
        try {
            channel.accept(Unit, accepted)
        } catch (_: ClosedChannelException) {
            // The listener was closed.
        } catch (_: ShutdownChannelGroupException) {
            // The network was closed.
        }
    }

    private inner class AcceptHandler(
        private val onAccept: (TcpConnection) -> Unit,
    ) : CompletionHandler<AsynchronousSocketChannel, Unit> {
        override fun completed(
            connection: AsynchronousSocketChannel,
            attachment: Unit,
        ) {
            acceptNext(this)
            try {
                connection.setOption(StandardSocketOptions.TCP_NODELAY, true)
                onAccept(TcpConnection(connection))
            } catch (error: IOException) {
                logger.debug { "an accepted connection failed: ${error.message}" }
                connection.close()
            }
        }

        override fun failed(
            error: Throwable,
            attachment: Unit,
        ) {
            if (!isOpen) return
            logger.warn { "could not accept a connection, will retry: ${error.message}" }
            acceptRetryExecutor.execute { acceptNext(this) }
        }
    }

    /** Stops listening. */
    fun close(): Unit = channel.close()

    private companion object {
        /** The delay after a failed accept, in which other connections may end; short compared with the connect timeouts of callers. */
        const val ACCEPT_RETRY_DELAY_MILLISECONDS = 100L
        val acceptRetryExecutor: Executor = CompletableFuture.delayedExecutor(ACCEPT_RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
        val logger = KotlinLogging.logger {}
    }
}

/** Resumes a coroutine with the result of an operation on a channel. */
internal class ContinuationHandler<T> : CompletionHandler<T, Continuation<T>> {
    override fun completed(
        result: T,
        continuation: Continuation<T>,
    ): Unit = continuation.resume(result)

    override fun failed(
        error: Throwable,
        continuation: Continuation<T>,
    ): Unit = continuation.resumeWithException(toIOException(error))
}

/** Returns [error] as an [IOException], the only kind of exception that callers of the network handle. */
internal fun toIOException(error: Throwable): IOException =
    when (error) {
        is AsynchronousCloseException -> IOException("the connection was closed here")
        is IOException -> error
        else -> IOException(error.message ?: error.javaClass.simpleName, error)
    }
