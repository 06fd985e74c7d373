package org.celeryusher.standin.server

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** The answer of `GET /health`. */
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

/** How true a backend server's health report is. */
public sealed interface LoadReporting {
    /** The report is the truth at the time it is asked for. */
    public data object Exact : LoadReporting

    /** The report is the truth of [lag] ago. */
    public data class Lagging(
        public val lag: Duration,
    ) : LoadReporting

    /** The report is always [report], whatever happens. */
    public data class Lying(
        public val report: HealthReport,
    ) : LoadReporting
}

/** The recent past of a server's load, from which lagging reports are taken. */
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

    /** Returns the last report that was recorded [lag] before [now] or earlier; the oldest one that is kept when there is none. */
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
