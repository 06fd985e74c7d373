package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.math.ceil
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a backend server has room for, as far as its answers show it: fewer calls than its slots, and a number of bytes.
 *
 * Addresses servers that have other callers, or that take less than they declare, and refuse what their guard let through. Each refusal
 * reduces the limit to the calls that were running beside it, at most by half at a time; the limit then rises by one slot in
 * [RECOVERY_PER_SLOT]. The server's own counts show calls of others, and fewer slots than declared. Applies only to servers that state
 * their slowdown, except for the bytes, which [maximumBytes] bounds.
 */
internal class ServerRoom(
    private val pace: ServerPace,
) {
    private var learned = Double.MAX_VALUE
    private var learnedAt = Moment.DISTANT_PAST
    private var others = 0.0
    private var statedSlots = Int.MAX_VALUE
    private var statedAt = Moment.DISTANT_PAST
    private var running = 0

    /** The bytes of the calls that run on the server. */
    var bytes = 0L
        private set

    /** The number of calls that the server has refused, each of which its guard let through. */
    var refusals = 0L
        private set

    /** Counts the start of a call with a body of [size] bytes. */
    fun started(size: Long) {
        running++
        bytes += size
    }

    /** Counts the end of a call with a body of [size] bytes. */
    fun ended(size: Long) {
        running--
        bytes -= size
    }

    /** Returns whether a call with a body of [size] bytes may start beside those that run. A call that runs alone always may. */
    fun fits(
        size: Long,
        maximumBytes: Long,
    ): Boolean = !pace.isStated || running == 0 || bytes + size <= maximumBytes

    /** Records the counts that the server stated in an answer to a call that still counts as running. */
    fun state(
        load: ServerLoad,
        now: Moment,
    ) {
        // Calls on their way make this too low rather than too high, so that a guard does not take its own calls for those of others.
        val excess = (load.running + load.waiting - running).coerceAtLeast(0)
        others += OTHERS_WEIGHT * (excess - others)
        statedSlots = load.slots.coerceAtLeast(1)
        statedAt = now
    }

    /** Records that the server refused a call, which has ended, while its guard allowed [limit] calls. */
    fun refused(
        limit: Int,
        now: Moment,
    ) {
        refusals++
        if (!pace.isStated || now - learnedAt < REFUSAL_WINDOW) return
        learned = maxOf(1.0, minOf(running.toDouble(), limit - 1.0), limit * MAXIMUM_DECREASE)
        learnedAt = now
    }

    /** Returns the number of calls that may run at [now] on a server with [slots]. */
    fun limit(
        slots: Int,
        now: Moment,
    ): Int {
        if (!pace.isStated) return slots
        val byCounts = if (now - statedAt > MEMORY) slots else minOf(slots, statedSlots) - othersCounted()
        return minOf(byCounts, recovered(now).coerceAtMost(slots.toDouble()).toInt()).coerceIn(1, slots.coerceAtLeast(1))
    }

    /** Returns when the limit rises next although nothing happens, or null if it does not. */
    fun nextRise(
        slots: Int,
        now: Moment,
    ): Moment? {
        val current = recovered(now)
        if (!pace.isStated || current >= slots) return null
        return now + RECOVERY_PER_SLOT * (ceil(current + ROUNDING) - current)
    }

    /** Forgets what the previous process of the server showed. The calls that run stay counted until they end. */
    fun reset() {
        learned = Double.MAX_VALUE
        learnedAt = Moment.DISTANT_PAST
        others = 0.0
        statedAt = Moment.DISTANT_PAST
    }

    private fun othersCounted(): Int = (others + OTHERS_ROUNDING).toInt()

    private fun recovered(now: Moment): Double {
        val isUnlimited = learned == Double.MAX_VALUE
        return if (isUnlimited) learned else learned + (now - learnedAt) / RECOVERY_PER_SLOT
    }

    private companion object {
        /** At most this share of the limit remains after one refusal, so that refusals for another reason do not end all service. */
        const val MAXIMUM_DECREASE = 0.5

        /** Answers to calls that started together show one state of the server. */
        val REFUSAL_WINDOW = 30.milliseconds
        val RECOVERY_PER_SLOT = 400.milliseconds

        /** With this weight, three answers show two thirds of a change. */
        const val OTHERS_WEIGHT = 0.3

        /** A remainder of the average below this is taken for calls on their way. */
        const val OTHERS_ROUNDING = 0.3
        val MEMORY = 1.seconds
        const val ROUNDING = 1e-9
    }
}
