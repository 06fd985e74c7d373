package org.celeryusher.kernel.routing

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** Counts of calls over the last [parts] parts of time, each [partLength] long; the oldest part is dropped as a new one begins. */
internal class SlidingCounts(
    private val partLength: Duration,
    private val parts: Int,
) {
    private class Part {
        var requests = 0
        var sent = 0
        var accepts = 0
        var refusals = 0
    }

    private val ring = ArrayDeque<Part>().apply { add(Part()) }
    private var partEndsAt: Moment? = null

    val requests: Int get() = ring.sumOf { it.requests }
    val sent: Int get() = ring.sumOf { it.sent }
    val accepts: Int get() = ring.sumOf { it.accepts }
    val refusals: Int get() = ring.sumOf { it.refusals }
    val sentInThisPart: Int get() = ring.last().sent

    /** Drops what lies before the window that ends at [now]. */
    fun advance(now: Moment) {
        val end = partEndsAt ?: (now + partLength)
        if (now < end) {
            partEndsAt = end
            return
        }
        val passed = (now - end) / partLength
        repeat(minOf(passed.toInt() + 1, parts)) { ring.addLast(Part()) }
        while (ring.size > parts) ring.removeFirst()
        partEndsAt = end + partLength * (passed.toInt() + 1)
    }

    fun request(isSent: Boolean) {
        ring.last().requests++
        if (isSent) ring.last().sent++
    }

    fun answer(isAccepted: Boolean) {
        if (isAccepted) ring.last().accepts++ else ring.last().refusals++
    }
}
