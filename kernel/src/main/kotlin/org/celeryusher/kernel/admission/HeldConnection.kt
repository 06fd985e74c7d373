package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What one connection to a node holds, and how it progresses.
 *
 * [CallerBudget] changes it, except for [recordProgress], which the one coroutine that transfers bytes calls without a lock.
 */
public open class HeldConnection(
    public val port: CallerPort,
    openedAt: Moment,
) {
    /** What the connection does at present. */
    @Volatile
    public var phase: CallerPhase = CallerPhase.IDLE
        internal set

    /** The bytes that are charged to the connection. */
    public var heldBytes: Long = 0
        internal set

    /** The size of the response that is being sent, which another account may have been charged for. */
    public var unreadBytes: Long = 0
        internal set

    /** Whether the connection has carried a complete request, or a valid frame. */
    @Volatile
    public var isProven: Boolean = false
        internal set

    /** Whether the connection has been selected to be closed. */
    @Volatile
    public var isClosing: Boolean = false
        internal set

    /** Whether a refusal has been sent on the connection, after which it carries nothing more. */
    @Volatile
    public var isRefused: Boolean = false
        internal set

    /** When the connection last changed its phase or transferred [PROGRESS_UNIT_BYTES] more. */
    @Volatile
    public var progressedAt: Moment = openedAt
        internal set

    /**
     * The time between two steps of progress of the reader, the longer of the last and half of those before.
     *
     * A steady reader is seen to take its response in large steps, since its system announces free room in its buffer only in such.
     */
    @Volatile
    internal var readPause: Duration = Duration.ZERO

    /** The bytes of the last step of the reader. Transfers without a longer pause than [STEP_PAUSE] are one step. */
    @Volatile
    internal var readStepBytes: Long = 0

    /** The bytes transferred so far. */
    @Volatile
    public var transferredBytes: Long = 0
        private set

    /** The number of exchanges in progress on the connection of another node. */
    public var exchanges: Int = 0
        internal set

    /** Whether a pipelined request is in progress on the connection. */
    public var isPipelining: Boolean = false
        internal set

    /** Whether a request of a caller is in progress on the connection. */
    internal var isRequesting: Boolean = false

    /** Whether frames to the other node wait to be sent. */
    public open val hasUnsentFrames: Boolean get() = false

    /** Whether closing the connection would abort an exchange or lose a frame. */
    internal val isInUse: Boolean get() = exchanges > 0 || hasUnsentFrames

    private var markedBytes = 0L
    internal var checkedBytes = 0L

    /** The bytes that were transferred beyond the minimum of the windows that are over. */
    internal var spareBytes = 0L
    internal var checkAt: Moment = openedAt
    internal var isOpen = false

    /** The neighbours in the queue of connections whose progress is to be checked. */
    internal var previous: HeldConnection? = null
    internal var next: HeldConnection? = null
    internal var isQueued = false

    /** The queue of [IdleConnections] that the connection is in, or null if it is in none. */
    internal var idleQueue: MutableSet<HeldConnection>? = null

    /** Whether this is the connection of a node that has sent valid frames. */
    internal val isProvenNode: Boolean get() = port == CallerPort.FRAMES && isProven

    /** Whether what the connection holds belongs to admitted work, which other callers do not limit. */
    internal val isExempt: Boolean get() = phase == CallerPhase.ADMITTED || isProvenNode

    /** Records that [bytes] were transferred at the time [now]. Single bytes sent from time to time do not count as progress. */
    public fun recordProgress(
        bytes: Int,
        now: Moment,
    ) {
        val total = transferredBytes + bytes
        transferredBytes = total
        val step = total - markedBytes
        if (step < PROGRESS_UNIT_BYTES) return
        markedBytes = total
        if (phase == CallerPhase.SENDING) {
            val pause = now - progressedAt
            readStepBytes = if (pause <= STEP_PAUSE) readStepBytes + step else step
            readPause = maxOf(pause, readPause / 2)
        }
        progressedAt = now
    }

    public companion object {
        /** The bytes after which a connection counts as progressing. */
        public const val PROGRESS_UNIT_BYTES: Long = 1_024

        /** The system may take the free room of one announcement in several writes, which follow each other closely. */
        private val STEP_PAUSE = 1.seconds
    }
}
