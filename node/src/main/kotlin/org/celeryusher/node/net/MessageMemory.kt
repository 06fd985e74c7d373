package org.celeryusher.node.net

import kotlinx.coroutines.currentCoroutineContext
import org.celeryusher.kernel.admission.MemoryBudget
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/** The memory of this process for the bodies of messages in flight. Thread-safe. */
internal class MessageMemory(
    capacityBytes: Long = (Runtime.getRuntime().maxMemory() * SHARE_OF_HEAP).toLong(),
) {
    /** The budget of this process, to be accessed only while its monitor is held. */
    val budget: MemoryBudget = MemoryBudget(capacityBytes)

    /** Records [bytes] of encoded messages that are in use already. */
    fun take(bytes: Int): Unit = synchronized(budget) { budget.take(bytes.toLong()) }

    /** Releases [bytes] that were recorded by [take]. */
    fun release(bytes: Int): Unit = synchronized(budget) { budget.release(bytes.toLong()) }

    /**
     * Returns an account for one call. It is released when the call has ended.
     *
     * As long as [gate] is receiving a request, it decides on the memory for it.
     */
    fun open(gate: BodyGate? = null): Account = Account(gate)

    /** What one call holds. The coroutines of a call have it in their context, so that each body that they read is charged to it. */
    inner class Account(
        private val gate: BodyGate?,
    ) : AbstractCoroutineContextElement(Key),
        AutoCloseable {
        private var held = 0L

        /** The bytes that are charged to this account. */
        val heldBytes: Long get() = synchronized(budget) { held }

        /** Reserves memory for a body of [bytes] that is to have [added] more, and returns whether there is enough. */
        fun grow(
            bytes: Int,
            added: Int,
        ): Boolean {
            if (gate != null && gate.isReceiving) {
                gate.hold(added * COPIES)
                return true
            }
            return synchronized(budget) {
                val isSmall = bytes + added <= SMALL_BYTES
                if (!isSmall && !budget.grow(bytes * COPIES, added * COPIES)) return false
                if (isSmall) budget.take(added * COPIES)
                held += added * COPIES
                true
            }
        }

        /** Records a body of [bytes] that was received with a message of another node. */
        fun take(bytes: Int): Unit =
            synchronized(budget) {
                budget.take(bytes.toLong())
                held += bytes
            }

        override fun close(): Unit =
            synchronized(budget) {
                budget.release(held)
                held = 0
            }
    }

    companion object Key : CoroutineContext.Key<Account> {
        /** The rest of the heap is for everything else, and for copies that are made while a message is encoded. */
        private const val SHARE_OF_HEAP = 0.55

        /** Returns the account of the calling coroutine, or null if it has none. */
        suspend fun account(): Account? = currentCoroutineContext()[Key]

        /** A body of this size is always taken. The limits on calls in flight bound how many there are. */
        private const val SMALL_BYTES = 16_384

        /** A body that grows is copied once, and it is copied again when it is passed on. */
        const val COPIES: Long = 2
    }
}

/** Decides on the memory for the body of a request while it arrives. */
internal interface BodyGate {
    /** Whether a request is arriving. */
    val isReceiving: Boolean

    /**
     * Charges [bytes] more to the request.
     *
     * @throws MessageMemoryException when there is too little memory.
     */
    fun hold(bytes: Long)
}

/** Thrown when there is too little memory for the rest of a message; [isPermanent] if there would be too little for it beside no other. */
internal class MessageMemoryException(
    message: String,
    val isPermanent: Boolean = false,
) : java.io.IOException(message)
