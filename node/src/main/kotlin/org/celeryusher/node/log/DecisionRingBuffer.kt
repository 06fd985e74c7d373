package org.celeryusher.node.log

import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** A lock-free ring buffer of the latest [capacity] decisions. */
internal class DecisionRingBuffer(
    private val capacity: Int,
) {
    private val slots = AtomicReferenceArray<Decision>(capacity)
    private val added = AtomicLong()

    /** The kept decisions, in no particular order. */
    val decisions: List<Decision> get() = (0 until capacity).mapNotNull { slots.get(it) }

    /** The number of decisions that later ones have overwritten. */
    val discarded: Long get() = (added.get() - capacity).coerceAtLeast(0)

    fun add(decision: Decision) {
        val index = added.getAndIncrement() % capacity
        slots.set(index.toInt(), decision)
    }
}
