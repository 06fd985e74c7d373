package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/**
 * How long ago the platform last answered any node of which this one has heard.
 *
 * The news travels between nodes as an age, since their clocks differ; time on the way makes it look fresher than it is by that time.
 */
public class SourceNews {
    private var confirmedAt: Moment? = null

    /** Takes in that the platform answered this node at [now]. */
    public fun confirmed(now: Moment): Unit = heard(Duration.ZERO, now)

    /** Takes in a peer's news of [age]; older news than known, and a negative age, change nothing. */
    public fun heard(
        age: Duration,
        now: Moment,
    ) {
        if (age.isNegative()) return
        val moment = now - age
        confirmedAt = maxOf(confirmedAt ?: moment, moment)
    }

    /** Returns the age of the freshest news, or null when there is none. */
    public fun age(now: Moment): Duration? = confirmedAt?.let { now - it }
}
