package org.celeryusher.standin.server

import kotlinx.coroutines.sync.Semaphore
import java.util.concurrent.atomic.AtomicInteger

/** The slots of one backend server and the bounded queue of calls that wait for them. */
internal class SlotPool(
    slots: Int,
    private val queueLimit: Int,
) {
    private val permits = Semaphore(slots)
    private val runningCount = AtomicInteger()
    private val queuedCount = AtomicInteger()

    val running: Int get() = runningCount.get()
    val queued: Int get() = queuedCount.get()

    /** Acquires a slot, waiting in the queue if necessary. Returns false if the queue is full. */
    suspend fun acquire(): Boolean {
        val acquired = permits.tryAcquire() || waitForPermit()
        if (acquired) runningCount.incrementAndGet()
        return acquired
    }

    fun release() {
        runningCount.decrementAndGet()
        permits.release()
    }

    private suspend fun waitForPermit(): Boolean {
        val position = queuedCount.incrementAndGet()
        try {
            if (position > queueLimit) return false
            permits.acquire()
            return true
        } finally {
            queuedCount.decrementAndGet()
        }
    }
}
