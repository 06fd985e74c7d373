package org.celeryusher.standin.server

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** Response body of `GET /health`. */
@Serializable
public data class HealthReport(
    public val state: ServerState,
    public val slots: Int,
    public val running: Int,
    public val queued: Int,
)

/** The states that a backend server reports. */
@Serializable
public enum class ServerState {
    @SerialName("starting")
    STARTING,

    @SerialName("ready")
    READY,

    @SerialName("draining")
    DRAINING,
}

/** How the health reports of a backend server stand-in relate to its actual state. */
public sealed interface HealthReporting {
    /** Reports show the state at the time of the request. */
    public data object Exact : HealthReporting

    /** Reports show the state [lag] before the request. */
    public data class Lagging(
        public val lag: Duration,
    ) : HealthReporting

    /** Every report equals [report], regardless of the actual state. */
    public data class Constant(
        public val report: HealthReport,
    ) : HealthReporting
}

/** Recent health reports of a server, from which delayed reports are served. */
internal class HealthHistory {
    private val entries = ArrayDeque<Entry>()

    @Synchronized
    fun record(
        report: HealthReport,
        now: Moment,
    ) {
        entries += Entry(now, report)
        if (entries.size > KEPT_ENTRIES) entries.removeFirst()
    }

    /** Returns the last report recorded at least [lag] before [now], or the oldest retained report if there is none. */
    @Synchronized
    fun at(
        now: Moment,
        lag: Duration,
    ): HealthReport? = (entries.lastOrNull { it.from <= now - lag } ?: entries.firstOrNull())?.report

    private class Entry(
        val from: Moment,
        val report: HealthReport,
    )

    private companion object {
        const val KEPT_ENTRIES = 4096
    }
}
