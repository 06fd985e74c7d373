package org.celeryusher.kernel.admission

import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/**
 * Draws a number from 0 to 1 for a request, which stays the same for equal requests during each [period].
 *
 * Addresses callers that retry at once: an independent draw for each try would admit a request that is tried often enough, at the cost of
 * the others. The periods of different requests begin at different times, so that routes with few distinct requests are not admitted or
 * refused all at once.
 */
internal object RequestDraw {
    /** Longer than most callers try. With 1 s, callers that retried at once for 0.8 s were served 26 times in a hundred instead of 15. */
    private val period = 2.seconds

    /** Returns the draw of [request] at [now]; [salt] differs between nodes, so that few equal requests are spread over the nodes. */
    fun of(
        request: RequestFingerprint,
        salt: Long,
        now: Moment,
    ): Double {
        val length = period.inWholeNanoseconds
        val index = Math.floorDiv(now.nanoseconds + Math.floorMod(request.low, length), length)
        val bits = mixed(mixed(request.high xor salt) xor mixed(request.low + index))
        return (bits ushr UNUSED_BITS) * UNIT
    }

    /** The finalizer of SplitMix64, which spreads each bit of [value] over the result. */
    private fun mixed(value: Long): Long {
        val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
        val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
        return second xor (second ushr 31)
    }

    /** A Double has 53 significant bits. */
    private const val UNUSED_BITS = 11
    private const val UNIT = 1.0 / (1L shl 53)
}
