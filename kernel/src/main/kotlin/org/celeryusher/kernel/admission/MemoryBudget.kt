package org.celeryusher.kernel.admission

/**
 * Divides [capacity] bytes of memory among the messages in flight, by a dynamic threshold.
 *
 * A message may hold [LARGEST_SHARE] times what is left free. So a single message can use most of the memory, many that grow without end
 * stop each other early, and a small message finds room beside them. Not thread-safe.
 */
public class MemoryBudget(
    public val capacity: Long,
) {
    /** The number of bytes that are reserved. It exceeds the capacity when memory in use was recorded by [take]. */
    public var reserved: Long = 0
        private set

    /** Reserves [added] bytes for a message that holds [held] bytes, and returns true, or returns false if that is more than it may hold. */
    public fun grow(
        held: Long,
        added: Long,
    ): Boolean {
        if (!allows(held, added)) return false
        reserved += added
        return true
    }

    /** The most bytes that a single message can hold beside no other. */
    public val largestMessageBytes: Long get() = capacity * LARGEST_SHARE / (LARGEST_SHARE + 1)

    /** Returns whether a message that holds [held] bytes may hold [added] more, once [releasing] bytes that others hold are released. */
    public fun allows(
        held: Long,
        added: Long,
        releasing: Long = 0,
    ): Boolean = held + added <= (capacity - reserved + releasing - added) * LARGEST_SHARE

    /** Records that [bytes] are in use already. */
    public fun take(bytes: Long) {
        reserved += bytes
    }

    /** Releases [bytes]. */
    public fun release(bytes: Long) {
        reserved -= bytes
    }

    private companion object {
        /** A message may hold two thirds of the memory if it is the only one. */
        const val LARGEST_SHARE = 2
    }
}
