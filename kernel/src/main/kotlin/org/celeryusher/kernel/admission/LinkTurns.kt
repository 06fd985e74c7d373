package org.celeryusher.kernel.admission

import java.util.TreeSet

/**
 * Decides which of the large messages that wait for the link takes the next turn: the one that came first.
 *
 * Addresses more large answers than the link carries: if they took turns part by part, all of them would end late, and when one ends would depend
 * on those that come after it. A message that waits for its peer instead of the link holds up no other. Not thread-safe.
 */
public class LinkTurns {
    private val waiting = TreeSet<Long>()
    private var messages = 0L

    /** Returns the number of a message that comes now. */
    public fun enter(): Long = messages++

    /** Records that the message with [number] waits for a turn. */
    public fun await(number: Long) {
        waiting += number
    }

    /** Records that the message with [number] no longer waits, because it has its turn or is not sent. */
    public fun leave(number: Long) {
        waiting -= number
    }

    /** The number of the message that takes the next turn, or null if none waits. */
    public val next: Long? get() = waiting.firstOrNull()
}
