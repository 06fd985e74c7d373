package org.celeryusher.kernel.admission

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName

/**
 * The exact load of one backend server, as counted by its guard, the admission control in front of it.
 *
 * Sent to proxies with answers, so its names on the wire are short.
 */
@Serializable
public data class GuardLoad(
    /** The number of calls that may run now: the declared slots, or fewer. */
    @SerialName("m") public val limit: Int,
    @SerialName("r") public val running: Int,
    @SerialName("q") public val queued: Int,
    /** The load of each rank, the most urgent first; empty while the backend server drains. */
    @SerialName("k") public val ranks: List<RankLoad>,
    /** The number of calls a second that may start now: the lower of the server's stated limit and that of a cold server; null for none. */
    @SerialName("p") public val callsPerSecond: Double? = null,
    /** The backend server that has stated that it is leaving, or null if it has not. */
    @SerialName("l") public val leavingServer: InstanceName? = null,
    /** The `Incarnation.start` of the process of [leavingServer] that has stated it, or null if the guard does not know it. */
    @SerialName("b") public val leavingProcess: Long? = null,
    /** How long work takes on the server now, as a multiple of the usual time; null if the server has not stated it recently. */
    @SerialName("f") public val slowdown: Double? = null,
    /**
     * The number of calls a second that the server itself has stated as its limit, or null if it has stated none. Only this one is sent back
     * with calls: a guard that took the limit of a cold server for a stated one would keep it after the server has warmed up.
     */
    @SerialName("t") public val statedCallsPerSecond: Double? = null,
    /** The calls that runs make to other services and the share served in time; sent from time to time, and only while runs make calls. */
    @SerialName("n") public val runs: List<RunLoad> = emptyList(),
    /** How long a large answer to a call that arrives now waits for the link of the instance; 0 if the link is free or not limited. */
    @SerialName("x") public val linkWaitMilliseconds: Long = 0,
) {
    /** Returns the load to send with an answer of [bytes], or null if the answer waits so long for the link that the load will be outdated. */
    public fun forAnswerOf(bytes: Int): GuardLoad? {
        val isDelayed = bytes > LinkSchedule.PART_BYTES && linkWaitMilliseconds >= OUTDATED_MILLISECONDS
        return if (isDelayed && runs.isEmpty() && leavingServer == null) null else this
    }

    /** Returns whether [instance], whose process is [process] as far as the proxy knows, has stated that it is leaving. */
    public fun isLeaving(
        instance: InstanceName,
        process: Incarnation?,
    ): Boolean = leavingServer == instance && (leavingProcess == null || process == null || leavingProcess == process.start)

    /** Returns whether the guard would start or queue a call of the rank at [rankPosition] whose deadline allows for the estimated wait. */
    public fun accepts(rankPosition: Int): Boolean = ranks.getOrElse(rankPosition) { ranks.lastOrNull() }?.accepting ?: false

    private companion object {
        /** The shortest time between two load reports that guards push, which are sent ahead of large answers. */
        const val OUTDATED_MILLISECONDS = 100L
    }
}

/** The load of one rank in a [GuardLoad]. */
@Serializable
public data class RankLoad(
    /** The estimated wait in the queue of a call that arrives now. */
    @SerialName("w") public val estimatedWaitMilliseconds: Long,
    /** Whether a call of the rank that is on time can be queued. */
    @SerialName("a") public val accepting: Boolean,
    /** The moving average of the service time of the rank on this server; 0 before the first measurement. */
    @SerialName("s") public val serviceMilliseconds: Long = 0,
)
