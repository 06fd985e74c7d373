package org.celeryusher.standin.server

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration

/** Distribution of the time that a backend server stand-in takes to run a call. */
public sealed interface ServiceTime {
    /** The same time for every call. */
    public data class Fixed(
        public val duration: Duration,
    ) : ServiceTime

    /** Uniformly distributed times between [shortest] and [longest]. */
    public data class Uniform(
        public val shortest: Duration,
        public val longest: Duration,
    ) : ServiceTime

    /** Exponentially distributed times, capped at [longest]. */
    public data class Exponential(
        public val mean: Duration,
        public val longest: Duration,
    ) : ServiceTime

    /** Returns one sample, drawn with [random]. */
    public fun sample(random: Random): Duration =
        when (this) {
            is Fixed -> duration
            is Uniform -> shortest + (longest - shortest) * random.nextDouble()
            is Exponential -> (mean * -ln(1.0 - random.nextDouble())).coerceAtMost(longest)
        }
}

/** The service time of the calls whose path starts with [pathPrefix]. */
public data class PathServiceTime(
    public val pathPrefix: String,
    public val serviceTime: ServiceTime,
)
