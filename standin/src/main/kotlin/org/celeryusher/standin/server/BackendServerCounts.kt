package org.celeryusher.standin.server

import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicLong

/** Counters of a backend server stand-in since it was created. */
@Serializable
public data class BackendServerCounts(
    /** Requests that were received completely, without health requests. */
    public val requests: Long,
    /** Calls that started to run. */
    public val runs: Long,
    /** Calls that ran to completion. */
    public val completed: Long,
    /** Calls that were shed without running. */
    public val shed: Long,
    /** Calls that were cancelled while they ran: by their deadline, by a disconnect of the caller, or by a crash. */
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
