package org.celeryusher.standin.server

import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicLong

/** What a backend server's stand-in has done so far. */
@Serializable
public data class BackendServerCounts(
    /** Requests that arrived whole, health requests not included. */
    public val requests: Long,
    /** Calls that started to run. */
    public val runs: Long,
    /** Calls that ran to their end. */
    public val completed: Long,
    /** Calls that were refused without a run. */
    public val shed: Long,
    /** Calls that were stopped while they ran: by their deadline, by the caller, or by a crash. */
    public val stopped: Long,
    /** Health requests. */
    public val probes: Long,
    public val crashes: Long,
    public val openConnections: Int,
    public val refusedConnections: Long,
)

internal class BackendServerCounters {
    val requests = AtomicLong()
    val runs = AtomicLong()
    val completed = AtomicLong()
    val shed = AtomicLong()
    val stopped = AtomicLong()
    val probes = AtomicLong()
    val crashes = AtomicLong()

    fun snapshot(
        openConnections: Int,
        refusedConnections: Long,
    ): BackendServerCounts =
        BackendServerCounts(
            requests = requests.get(),
            runs = runs.get(),
            completed = completed.get(),
            shed = shed.get(),
            stopped = stopped.get(),
            probes = probes.get(),
            crashes = crashes.get(),
            openConnections = openConnections,
            refusedConnections = refusedConnections,
        )
}
