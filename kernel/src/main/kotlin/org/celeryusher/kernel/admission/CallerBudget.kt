package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides what untrusted callers may make a node hold. It answers load from callers who send much, slowly or without reading.
 *
 * Each connection is charged for what it holds before it is held. The bytes of all connections and of all other messages are reserved in
 * [memory], the one budget of the process, of which a share is left to admitted requests. When the rest is short, the connections that have
 * held the most for the longest without progress are closed. Connections with an admitted request are never among them. The admin address has
 * a portion of its own. Not thread-safe.
 */
public class CallerBudget(
    private val memory: MemoryBudget,
    public val limits: CallerBudgetLimits,
) {
    private val connections = LinkedHashSet<HeldConnection>()
    private val counts = IntArray(CallerPort.entries.size)
    private val idle = IdleConnections()
    private val selection = ConnectionSelection(connections, limits, idle)
    private val room = CallerRoom(memory, limits, selection)
    private val progress = ProgressChecks(limits)
    private val pipelined = PipelinedRequests(limits.pipelinedRequests, limits.pipelinedThreshold)

    /** What all connections hold. */
    public val usage: CallerUsage
        get() =
            CallerUsage(
                CallerPort.entries.associateWith { counts[it.ordinal] },
                room.portions.unadmitted,
                room.portions.admitted,
                room.portions.admin,
                pipelined.inProgress,
                memory.reserved,
            )

    /**
     * Decides whether [connection] is accepted. At the bound of its address, an idle or stalled connection is closed in its place.
     *
     * What each connection is charged at once is limited by the bounds on connections only, so that a caller that comes while the memory is
     * short still gets an answer to its request.
     */
    public fun open(
        connection: HeldConnection,
        now: Moment,
    ): CallerDecision {
        // The admin address is answered also while the memory for everything else is exhausted.
        val isWithinMemory = connection.port == CallerPort.ADMIN || room.isBelowCeiling(CallerBudgetLimits.CONNECTION_BYTES)
        if (!isWithinMemory) return CallerDecision.Refused(CallerCause.MEMORY)
        val isFull = counts[connection.port.ordinal] >= limits.connections.getValue(connection.port)
        val closing = if (isFull) selection.toReplace(connection.port, now) else null
        if (isFull && closing == null) return CallerDecision.Refused(CallerCause.CONNECTIONS)
        closing?.let(room::markClosing)
        connections += connection
        counts[connection.port.ordinal]++
        connection.isOpen = true
        idle.add(connection)
        room.hold(connection, CallerBudgetLimits.CONNECTION_BYTES)
        return if (closing == null) CallerDecision.GRANTED else CallerDecision.Granted(listOf(closing))
    }

    /** Records that a request or a frame has begun to arrive on [connection], and decides whether the buffers for it may be held. */
    public fun begin(
        connection: HeldConnection,
        now: Moment,
    ): CallerDecision {
        if (!connection.isOpen) return CallerDecision.Refused(CallerCause.MEMORY)
        change(connection, CallerPhase.RECEIVING, now)
        progress.begin(connection, now)
        return if (connection.port == CallerPort.FRAMES) CallerDecision.GRANTED else grow(connection, CallerBudgetLimits.REQUEST_BYTES, now)
    }

    /** Decides whether [connection] may hold [added] bytes more, and charges them to it if so. */
    public fun grow(
        connection: HeldConnection,
        added: Long,
        now: Moment,
    ): CallerDecision {
        if (connection.isClosing || !connection.isOpen) return CallerDecision.Refused(CallerCause.MEMORY)
        val largest =
            if (connection.isProvenNode) {
                (limits.capacityBytes * PROVEN_NODE_SHARE).toLong()
            } else {
                largestRequestBytes(
                    connection.port,
                )
            }
        if (room.extraBytes(connection) + added > largest) {
            return CallerDecision.Refused(if (connection.isProvenNode) CallerCause.MEMORY else CallerCause.TOO_LARGE)
        }
        val closing = room.make(connection, added, now) ?: return CallerDecision.Refused(CallerCause.MEMORY)
        room.hold(connection, added)
        return if (closing.isEmpty()) CallerDecision.GRANTED else CallerDecision.Granted(closing)
    }

    /**
     * Decides whether [connection] may hold [added] bytes more of a frame.
     *
     * A refusal ends the connection, which would abort the calls that run for its node; while it has any, it is limited by the size of a frame.
     */
    public fun growFrame(
        connection: HeldConnection,
        added: Long,
        now: Moment,
    ): CallerDecision {
        if (!connection.isProvenNode || connection.exchanges == 0 || connection.isClosing || !connection.isOpen) {
            return grow(connection, added, now)
        }
        room.hold(connection, added)
        return CallerDecision.GRANTED
    }

    /** Decides whether another exchange may be in progress on [connection]. A refusal concerns only this exchange, of which nothing has run. */
    public fun beginExchange(
        connection: HeldConnection,
        now: Moment,
    ): CallerDecision = grow(connection, EXCHANGE_BYTES, now).also { if (it is CallerDecision.Granted) connection.exchanges++ }

    /** Records that an exchange which [beginExchange] has granted has ended. */
    public fun endExchange(connection: HeldConnection) {
        connection.exchanges--
        release(connection, EXCHANGE_BYTES)
    }

    /** Decides whether more is read from [connection], which has [buffered] unconsumed bytes, while its present request is in progress. */
    public fun readAhead(buffered: Int): CallerDecision = if (buffered >= READ_AHEAD_BYTES) CallerDecision.Wait else CallerDecision.GRANTED

    /**
     * Returns whether a connection at [port] that is closed for another may still be sent a response.
     *
     * Until it is sent, the connection keeps its descriptor beyond the bound, so only one may at a time.
     */
    public fun mayAnswerReplaced(port: CallerPort): Boolean = counts[port.ordinal] <= limits.connections.getValue(port) + 1

    /** Returns the most bytes that one request at [port] can ever hold beside nothing else. */
    public fun largestRequestBytes(port: CallerPort): Long =
        if (port == CallerPort.ADMIN) {
            limits.adminBytes / 2
        } else {
            minOf(memory.largestMessageBytes, limits.unadmittedBytes - CallerBudgetLimits.CONNECTION_BYTES)
        }

    /**
     * Decides whether the complete request on [connection] is passed on. It is not once the connection has been selected to be closed.
     *
     * [isPipelined] states whether the caller sent it before the previous response, or has sent more behind it.
     */
    public fun admit(
        connection: HeldConnection,
        isPipelined: Boolean,
        now: Moment,
    ): CallerDecision {
        if (connection.isClosing || !connection.isOpen) return CallerDecision.Refused(CallerCause.MEMORY)
        val isCaller = connection.port == CallerPort.CALLERS
        if (isCaller && !pipelined.begin(connection, isPipelined)) return CallerDecision.Refused(CallerCause.PIPELINED)
        progress.end(connection)
        change(connection, CallerPhase.ADMITTED, now)
        connection.isProven = true
        return CallerDecision.GRANTED
    }

    /**
     * Decides whether a response of [bytes] may be held until it is sent on [connection], of which [uncharged] are charged to no account yet.
     *
     * At the address for callers it belongs to an admitted request until then, so that other callers do not limit it. A small one is always
     * granted, so that a refusal can be answered.
     */
    public fun send(
        connection: HeldConnection,
        bytes: Long,
        uncharged: Long,
        now: Moment,
    ): CallerDecision {
        val isSmall = uncharged <= SMALL_RESPONSE_BYTES
        // Sending on a closed connection fails without holding anything.
        if (!connection.isOpen) return CallerDecision.GRANTED
        if (connection.isClosing && !isSmall) return CallerDecision.Refused(CallerCause.MEMORY)
        val closing =
            when {
                isSmall -> emptyList()
                else -> room.make(connection, uncharged, now) ?: return CallerDecision.Refused(CallerCause.MEMORY)
            }
        change(connection, CallerPhase.SENDING, now)
        connection.readPause = Duration.ZERO
        connection.readStepBytes = 0
        connection.unreadBytes = bytes
        room.hold(connection, uncharged)
        progress.begin(connection, now)
        return if (closing.isEmpty()) CallerDecision.GRANTED else CallerDecision.Granted(closing)
    }

    /** Records that the exchange on [connection] has ended and that its buffers are released. */
    public fun finish(
        connection: HeldConnection,
        now: Moment,
    ) {
        if (!connection.isOpen) return
        progress.end(connection)
        room.hold(connection, -room.extraBytes(connection))
        connection.unreadBytes = 0
        change(connection, CallerPhase.IDLE, now)
    }

    /** Records that a refusal has been sent on [connection], which is closed before any other to make room for a new one. */
    public fun finishRefused(
        connection: HeldConnection,
        now: Moment,
    ) {
        if (!connection.isOpen) return
        connection.isRefused = true
        finish(connection, now)
    }

    /** Records that a valid frame has arrived on [connection]; its bytes are to be given back by [release]. */
    public fun prove(
        connection: HeldConnection,
        now: Moment,
    ) {
        if (!connection.isOpen) return
        progress.end(connection)
        room.portions.move(connection) {
            connection.isProven = true
            connection.phase = CallerPhase.IDLE
        }
        connection.progressedAt = now
    }

    /** Records that [connection] holds [bytes] of what it was granted no more. */
    public fun release(
        connection: HeldConnection,
        bytes: Long,
    ) {
        if (connection.isOpen) room.hold(connection, -minOf(bytes, room.extraBytes(connection)))
    }

    /** Records that [connection] is closed and holds nothing any more. */
    public fun close(connection: HeldConnection) {
        if (!connections.remove(connection)) return
        progress.end(connection)
        pipelined.end(connection)
        if (connection.isClosing) room.unmarkClosing(connection)
        room.hold(connection, -connection.heldBytes)
        counts[connection.port.ordinal]--
        connection.isOpen = false
        idle.remove(connection)
    }

    /** Returns the connections whose senders or readers are too slow. Call it about every [SWEEP_INTERVAL]; it only visits those due. */
    public fun sweep(now: Moment): List<OverdueConnection> = progress.overdue(now).onEach { room.markClosing(it.connection) }

    private fun change(
        connection: HeldConnection,
        phase: CallerPhase,
        now: Moment,
    ) {
        room.portions.move(connection) { connection.phase = phase }
        idle.remove(connection)
        if (phase == CallerPhase.IDLE) idle.add(connection)
        if (phase != CallerPhase.ADMITTED) pipelined.end(connection)
        connection.progressedAt = now
    }

    public companion object {
        /** The interval at which [sweep] is to be called. */
        public val SWEEP_INTERVAL: Duration = 1.seconds

        /** What is read ahead on a connection to notice that its caller closes it: one small buffer. */
        public const val READ_AHEAD_BYTES: Int = 4_096

        /** The coroutine of an exchange, its entry in the map of the connection, and a small frame. */
        public const val EXCHANGE_BYTES: Long = 2_048

        /** A request that holds this much is small: it needs room in the portion of callers only, so that large ones cannot displace it. */
        public const val SMALL_BYTES: Long = 32_768 + CallerBudgetLimits.REQUEST_BYTES

        /** The head of a response, and the body of an error. */
        public const val SMALL_RESPONSE_BYTES: Long = 2_048

        /** What the frames and calls on one connection of another node may take, so that a forged node cannot take everything. */
        private const val PROVEN_NODE_SHARE = 0.6
    }
}
