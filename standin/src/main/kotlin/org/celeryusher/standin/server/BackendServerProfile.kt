package org.celeryusher.standin.server

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How one backend server's stand-in is sized and how it behaves. */
public data class BackendServerProfile(
    /** How many calls run at a time. */
    public val slots: Int = 6,
    /** How many calls wait for a slot; those beyond it are shed. */
    public val queueLimit: Int = 0,
    /** How many connections are kept; those beyond it are closed on arrival. */
    public val connections: Int = 130,
    /** How long a new connection waits before its first request is read. */
    public val connectionCost: Duration = 1.milliseconds,
    /** How long a health request takes. */
    public val probeCost: Duration = 0.milliseconds,
    /** How long after its start the server reports `starting` and sheds each call. */
    public val startup: Duration = Duration.ZERO,
    /** How long after [startup] calls take longer, falling from [warmUpFactor] times the service time to once. */
    public val warmUp: Duration = Duration.ZERO,
    public val warmUpFactor: Double = 4.0,
    /** Service times by path; the longest matching prefix counts, [defaultServiceTime] when none matches. */
    public val serviceTimes: List<PathServiceTime> = emptyList(),
    public val defaultServiceTime: ServiceTime = ServiceTime.Fixed(5.milliseconds),
    /** A request whose target or body holds one of these texts crashes the server that runs it. */
    public val crashMarkers: List<String> = emptyList(),
    /** How long after a crash the server starts again on the same port; null to stay down. */
    public val restartAfter: Duration? = null,
    /** Seeds the service times. */
    public val seed: Long = 1,
) {
    /** Returns the service time of calls to [path]. */
    public fun serviceTimeOf(path: String): ServiceTime =
        serviceTimes
            .filter { path.startsWith(it.pathPrefix) }
            .maxByOrNull { it.pathPrefix.length }
            ?.serviceTime ?: defaultServiceTime

    /** Returns by how much a call that starts [age] after the server's start takes longer. */
    public fun slownessAt(age: Duration): Double {
        val warmAge = age - startup
        if (warmUp <= Duration.ZERO || warmAge >= warmUp) return 1.0
        return warmUpFactor - (warmUpFactor - 1.0) * (warmAge / warmUp).coerceAtLeast(0.0)
    }
}
