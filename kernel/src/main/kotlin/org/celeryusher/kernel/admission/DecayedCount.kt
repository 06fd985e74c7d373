package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.math.exp
import kotlin.time.Duration

/** A count whose entries lose weight exponentially with their age. */
internal class DecayedCount(
    private val timeConstant: Duration,
) {
    private var count = 0.0
    private var countedAt = Moment.DISTANT_PAST

    fun add(
        amount: Double,
        now: Moment,
    ) {
        count = at(now) + amount
        countedAt = maxOf(countedAt, now)
    }

    fun at(now: Moment): Double = if (count == 0.0) 0.0 else count * exp(-((now - countedAt) / timeConstant).coerceAtLeast(0.0))
}
