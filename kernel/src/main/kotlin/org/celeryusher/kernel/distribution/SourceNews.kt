package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/**
 * The age of the latest platform answer to any node that this node knows of.
 *
 * Nodes exchange the age rather than a timestamp because their clocks differ. The network delay is not counted, so a received age is too
 * low by that delay.
 */
public class SourceNews {
    private var confirmedAt: Moment? = null

    /** Records that the platform answered this node at [now]. */
    public fun confirmed(now: Moment): Unit = heard(Duration.ZERO, now)

    /** Merges the [age] that a peer reports. Ignores a negative age, and an age above the one already known. */
    public fun heard(
        age: Duration,
        now: Moment,
    ) {
        if (age.isNegative()) return
        val moment = now - age
        confirmedAt = maxOf(confirmedAt ?: moment, moment)
    }

    /** Returns the age of the latest known platform answer, or null when none is known. */
    public fun age(now: Moment): Duration? = confirmedAt?.let { now - it }
}
