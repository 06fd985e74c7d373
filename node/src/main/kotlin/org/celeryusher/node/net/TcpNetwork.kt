package org.celeryusher.node.net

import org.celeryusher.kernel.admission.LinkBacklog
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.runtime.ProcessClock
import java.io.IOException
import java.net.BindException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Opens and accepts the TCP connections of one process, on non-blocking channels of the JDK.
 *
 * Ktor's sockets are not used because their writer busy-waits while the receive window of the peer is full, and the JDK's asynchronous
 * channels because they do not tell at once whether a peer has closed its connection (docs/decisions/platform.md).
 */
public class TcpNetwork(
    private val clock: ProcessClock = ProcessClock.SYSTEM,
) : AutoCloseable {
    private val loop = EventLoop(clock).apply { start() }

    private val ownAddresses = ConcurrentHashMap.newKeySet<InetAddress>()

    @Volatile
    private var link: OutgoingLink? = null

    /** The memory for the messages on all connections. */
    internal val memory: MessageMemory = MessageMemory()

    /** Limits large messages to other instances to a link of [megabitsPerSecond]. Connections that are open already are not limited. */
    internal fun limitLink(megabitsPerSecond: Double) {
        link = OutgoingLink(megabitsPerSecond, clock)
    }

    /** Whether large messages take so long on the link that others should not wait behind them on one connection. */
    internal val isLinkSlow: Boolean get() = link?.isSlow == true

    /** The link as the guard sees it. The link may be limited later. */
    internal val guardLink: GuardLink =
        object : GuardLink {
            override val backlog: LinkBacklog? get() = link?.backlog

            override fun recordRefusal() {
                link?.recordRefusal()
            }
        }

    /** What the link carries and what waits for it, or null if it is not limited. */
    internal val linkStatus: LinkStatus? get() = link?.status

    /** Returns the present time by the clock that [TcpConnection.receivedSince] refers to. */
    internal fun now(): Moment = clock.now()

    /**
     * Opens a connection to [address]. Cancellation closes it.
     *
     * @throws java.net.ConnectException when nothing listens there.
     */
    internal suspend fun connect(address: Address): TcpConnection {
        val channel = SocketChannel.open()
        try {
            channel.configureBlocking(false)
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val remote = socketAddressOf(address)
            val connection = TcpConnection(channel, loop, clock, openedAt = clock.now(), linkTo(remote.address))
            if (!channel.connect(remote)) connection.awaitConnected()
            return connection
        } catch (error: IOException) {
            channel.close()
            loop.wakeUp()
            throw error
        }
    }

    /**
     * Listens at [address]. If the address is in use, it tries again for [BIND_LIMIT]: the JDK releases the address of a listener that was closed
     * only in the next poll of its event loop, and a process may still be ending that has listened there.
     */
    internal fun listen(address: Address): TcpListener {
        val channel = ServerSocketChannel.open()
        try {
            channel.configureBlocking(false)
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            ownAddresses += socketAddressOf(address).address
            bind(channel, address)
            return TcpListener(channel, loop, clock) { linkTo(it) }
        } catch (error: IOException) {
            channel.close()
            throw error
        }
    }

    private fun bind(
        channel: ServerSocketChannel,
        address: Address,
    ) {
        val endsAt = clock.now() + BIND_LIMIT
        while (true) {
            try {
                channel.bind(socketAddressOf(address), ACCEPT_BACKLOG)
                return
            } catch (error: BindException) {
                if (clock.now() >= endsAt) throw error
                Thread.sleep(BIND_INTERVAL.inWholeMilliseconds)
            }
        }
    }

    override fun close(): Unit = loop.close()

    /** Returns the link to [remote], or null if it is not limited or [remote] is this instance. */
    private fun linkTo(remote: InetAddress?): OutgoingLink? =
        link?.takeUnless { remote == null || remote.isLoopbackAddress || remote in ownAddresses }

    // The host is an IP address, so this does no DNS lookup.
    private fun socketAddressOf(address: Address): InetSocketAddress = InetSocketAddress(InetAddress.getByName(address.host), address.port)

    internal companion object {
        /** The maximum number of connections that wait to be accepted: enough for all callers of a data centre to reconnect at once. */
        const val ACCEPT_BACKLOG: Int = 1_024

        /** Ten polls of an event loop, for a process with little processor time. A node that starts has nothing else to do. */
        val BIND_LIMIT: Duration = 500.milliseconds
        private val BIND_INTERVAL = 5.milliseconds
    }
}
