package org.celeryusher.standin.server

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration

/** How long a backend server's stand-in takes to run a call. */
public sealed interface ServiceTime {
    /** Always the same time. */
    public data class Fixed(
        public val duration: Duration,
    ) : ServiceTime

    /** Equally likely times from [shortest] to [longest]. */
    public data class Uniform(
        public val shortest: Duration,
        public val longest: Duration,
    ) : ServiceTime

    /** Exponentially distributed times, cut off at [longest]. */
    public data class Exponential(
        public val mean: Duration,
        public val longest: Duration,
    ) : ServiceTime

    /** Returns one time, drawn from [random]. */
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
