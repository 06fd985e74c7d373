package org.celeryusher.node.log

import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** The latest decisions, at most [capacity] of them; adding one never waits. */
internal class DecisionRecord(
    private val capacity: Int,
) {
    private val places = AtomicReferenceArray<Decision>(capacity)
    private val added = AtomicLong()

    /** The decisions that are kept, in no particular order. */
    val decisions: List<Decision> get() = (0 until capacity).mapNotNull { places.get(it) }

    /** How many decisions were displaced by later ones. */
    val forgotten: Long get() = (added.get() - capacity).coerceAtLeast(0)

    fun add(decision: Decision) {
        val place = added.getAndIncrement() % capacity
        places.set(place.toInt(), decision)
    }
}
