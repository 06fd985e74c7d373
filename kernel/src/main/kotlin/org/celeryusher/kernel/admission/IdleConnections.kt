package org.celeryusher.kernel.admission

/**
 * The connections at the HTTP addresses that are between two requests, in the order in which they became so.
 *
 * All of them hold the same bytes, so that the one to close first is found without visiting the others. A crowd that connects again after each
 * refusal asks for one some thousand times a second.
 */
internal class IdleConnections {
    private class Queues {
        val refused = LinkedHashSet<HeldConnection>()
        val unproven = LinkedHashSet<HeldConnection>()
        val proven = LinkedHashSet<HeldConnection>()
    }

    private val queues = CallerPort.entries.map { Queues() }

    /** Adds [connection], which has become idle, unless it is one to the address for frames. */
    fun add(connection: HeldConnection) {
        if (connection.port == CallerPort.FRAMES) return
        val ofPort = queues[connection.port.ordinal]
        val queue =
            when {
                connection.isRefused -> ofPort.refused
                connection.isProven -> ofPort.proven
                else -> ofPort.unproven
            }
        queue += connection
        connection.idleQueue = queue
    }

    /** Removes [connection], if it is among them. */
    fun remove(connection: HeldConnection) {
        connection.idleQueue?.remove(connection)
        connection.idleQueue = null
    }

    /** Returns the connection at [port] whose refusal was sent first, or null if there is none. */
    fun firstRefused(port: CallerPort): HeldConnection? = queues[port.ordinal].refused.firstOpen()

    /** Returns the connections at [port] that have been idle for the longest, of those that have brought a request and of the others. */
    fun longestIdle(port: CallerPort): List<HeldConnection> =
        listOfNotNull(queues[port.ordinal].unproven.firstOpen(), queues[port.ordinal].proven.firstOpen())

    // Those that are being closed leave within moments, so few are skipped.
    private fun Set<HeldConnection>.firstOpen(): HeldConnection? = firstOrNull { !it.isClosing }
}
