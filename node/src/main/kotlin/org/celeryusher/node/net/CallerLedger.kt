package org.celeryusher.node.net

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asExecutor
import kotlinx.coroutines.delay
import org.celeryusher.kernel.admission.CallerBudget
import org.celeryusher.kernel.admission.CallerBudgetLimits
import org.celeryusher.kernel.admission.CallerCause
import org.celeryusher.kernel.admission.CallerDecision
import org.celeryusher.kernel.admission.CallerPort
import org.celeryusher.kernel.admission.CallerUsage
import org.celeryusher.kernel.admission.HeldConnection
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration

/** Is told of each refusal and each closing of a connection. Must not block. */
internal interface CallerObserver {
    /** Records that something from a caller at [port] was refused because of [cause]. */
    fun recordRefused(
        port: CallerPort,
        cause: CallerCause,
    ): Unit = Unit

    /** Records that [connection] is closed because of [cause]. */
    fun recordClosed(
        connection: HeldConnection,
        cause: CallerCause,
    ): Unit = Unit

    /** An observer that records nothing. */
    object None : CallerObserver
}

/** The [CallerBudget] of one node, shared by all its listeners. Thread-safe. */
internal class CallerLedger(
    memory: MessageMemory,
    limits: CallerBudgetLimits = CallerBudgetLimits(memory.budget.capacity),
    private val clock: ProcessClock = ProcessClock.SYSTEM,
    private val observer: CallerObserver = CallerObserver.None,
) {
    // The bytes of all messages are counted in one budget, whose monitor therefore guards both.
    private val lock = memory.budget
    private val budget = CallerBudget(memory.budget, limits)

    /** What the connections hold at present. */
    val usage: CallerUsage get() = synchronized(lock) { budget.usage }

    /** How long a peer may leave a connection for frames unread. */
    val stallLimit: Duration = limits.progressWindow

    /** Returns the present time. */
    fun now(): Moment = clock.now()

    /** Returns the connection that [tcp] is at [port], or null if it is refused, in which case it is closed. Runs on the network thread. */
    fun open(
        tcp: TcpConnection,
        port: CallerPort,
    ): CallerConnection? {
        val now = clock.now()
        val connection = CallerConnection(tcp, port, now, this)
        return when (val decision = synchronized(lock) { budget.open(connection, now) }) {
            is CallerDecision.Granted -> {
                // Closed at once, so that their descriptors are released before more connections are accepted.
                decision.closing.forEach { evict(it, CallerCause.CONNECTIONS) }
                tcp.observer = connection
                connection
            }

            is CallerDecision.Refused -> {
                observer.recordRefused(port, decision.cause)
                tcp.close()
                null
            }

            is CallerDecision.Wait -> {
                error("a connection cannot wait to be accepted")
            }
        }
    }

    /**
     * Charges [bytes] more to [connection].
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun hold(
        connection: CallerConnection,
        bytes: Long,
    ) {
        carryOut(connection, withBudget { grow(connection, bytes, it) })
    }

    /**
     * Charges [bytes] more of a frame to [connection].
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun holdFrame(
        connection: CallerConnection,
        bytes: Long,
    ) {
        carryOut(connection, withBudget { growFrame(connection, bytes, it) })
    }

    /**
     * Charges an exchange to [connection].
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun beginExchange(connection: CallerConnection) {
        carryOut(connection, withBudget { beginExchange(connection, it) })
    }

    fun endExchange(connection: CallerConnection): Unit = synchronized(lock) { budget.endExchange(connection) }

    /**
     * Records that a request or a frame begins to arrive on [connection].
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun begin(connection: CallerConnection) {
        carryOut(connection, withBudget { begin(connection, it) })
    }

    /** Returns why the request on [connection] must not be passed on, or null if it may. */
    fun admit(
        connection: CallerConnection,
        isPipelined: Boolean,
    ): CallerCause? {
        val refusal = withBudget { admit(connection, isPipelined, it) } as? CallerDecision.Refused ?: return null
        // A connection that is closed for others was recorded when it was selected.
        if (refusal.cause == CallerCause.PIPELINED) observer.recordRefused(connection.port, refusal.cause)
        return refusal.cause
    }

    /**
     * Charges a response to [connection].
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun send(
        connection: CallerConnection,
        bytes: Long,
        uncharged: Long,
    ) {
        carryOut(connection, withBudget { send(connection, bytes, uncharged, it) })
    }

    fun finish(connection: CallerConnection): Unit = withBudget { finish(connection, it) }

    fun finishRefused(connection: CallerConnection): Unit = withBudget { finishRefused(connection, it) }

    fun prove(connection: CallerConnection): Unit = withBudget { prove(connection, it) }

    fun release(
        connection: CallerConnection,
        bytes: Long,
    ): Unit = synchronized(lock) { budget.release(connection, bytes) }

    fun close(connection: CallerConnection): Unit = synchronized(lock) { budget.close(connection) }

    fun mayReadAhead(buffered: Int): Boolean = budget.readAhead(buffered) != CallerDecision.Wait

    fun mayAnswerReplaced(port: CallerPort): Boolean = synchronized(lock) { budget.mayAnswerReplaced(port) }

    fun largestRequestBytes(port: CallerPort): Long = budget.largestRequestBytes(port)

    /** Ends the connections of slow senders and readers until cancelled. */
    suspend fun sweepUntilCancelled() {
        while (true) {
            val now = clock.now()
            synchronized(lock) { budget.sweep(now) }.forEach { evict(it.connection, it.cause) }
            delay(CallerBudget.SWEEP_INTERVAL)
        }
    }

    private fun carryOut(
        connection: CallerConnection,
        decision: CallerDecision,
    ): Unit =
        when (decision) {
            is CallerDecision.Granted -> evictLater(decision.closing)
            is CallerDecision.Refused -> refuse(connection, decision.cause)
            is CallerDecision.Wait -> error("a request cannot wait for memory")
        }

    private inline fun <T> withBudget(action: CallerBudget.(Moment) -> T): T {
        val now = clock.now()
        return synchronized(lock) { budget.action(now) }
    }

    private fun refuse(
        connection: CallerConnection,
        cause: CallerCause,
    ): Nothing {
        observer.recordRefused(connection.port, cause)
        val isPermanent = cause == CallerCause.TOO_LARGE
        throw MessageMemoryException(
            if (isPermanent) "the request needs more memory than this node has" else "too little memory for the request",
            isPermanent,
        )
    }

    /** Ends [connections] on another thread: the caller may hold the lock of its own connection. */
    private fun evictLater(connections: List<HeldConnection>) {
        if (connections.isEmpty()) return
        Dispatchers.Default.asExecutor().execute { connections.forEach { evict(it, CallerCause.MEMORY) } }
    }

    private fun evict(
        connection: HeldConnection,
        cause: CallerCause,
    ) {
        observer.recordClosed(connection, cause)
        (connection as CallerConnection).evict(cause)
    }
}
