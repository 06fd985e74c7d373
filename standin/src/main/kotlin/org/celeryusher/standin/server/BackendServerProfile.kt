package org.celeryusher.standin.server

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Capacity and behaviour of a backend server stand-in. */
public data class BackendServerProfile(
    /** Maximum number of calls that run concurrently. */
    public val slots: Int = 6,
    /** Maximum number of calls that wait for a slot; further calls are shed. */
    public val queueLimit: Int = 0,
    /** Maximum number of open connections; further connections are closed as soon as they are accepted. */
    public val connections: Int = 130,
    /** Delay between accepting a connection and reading its first request. */
    public val connectionDelay: Duration = 1.milliseconds,
    /** Duration of a health request. */
    public val probeDuration: Duration = 0.milliseconds,
    /** Time after the start during which the server reports `starting` and sheds every call. */
    public val startup: Duration = Duration.ZERO,
    /** Time after [startup] during which calls are slow: the factor on the service time falls linearly from [warmUpFactor] to 1. */
    public val warmUp: Duration = Duration.ZERO,
    public val warmUpFactor: Double = 4.0,
    /** Service times by path prefix. The longest matching prefix applies, and [defaultServiceTime] if none matches. */
    public val serviceTimes: List<PathServiceTime> = emptyList(),
    public val defaultServiceTime: ServiceTime = ServiceTime.Fixed(5.milliseconds),
    /** A request whose target or body contains one of these texts crashes the server that runs it. */
    public val crashMarkers: List<String> = emptyList(),
    /** Time from a crash to the restart on the same port, or null if the server does not restart. */
    public val restartAfter: Duration? = null,
    /** Seed of the random service times. */
    public val seed: Long = 1,
) {
    /** Returns the service time of calls to [path]. */
    public fun serviceTimeOf(path: String): ServiceTime =
        serviceTimes
            .filter { path.startsWith(it.pathPrefix) }
            .maxByOrNull { it.pathPrefix.length }
            ?.serviceTime ?: defaultServiceTime

    /** Returns the factor on the service time of a call that starts [age] after the server's start; 1 when the server is warm. */
    public fun slowdownAt(age: Duration): Double {
        val warmAge = age - startup
        if (warmUp <= Duration.ZERO || warmAge >= warmUp) return 1.0
        return warmUpFactor - (warmUpFactor - 1.0) * (warmAge / warmUp).coerceAtLeast(0.0)
    }
}
