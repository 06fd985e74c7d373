package org.celeryusher.kernel.admission

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The exact load of one backend server as its guard knows it; travels on answers to proxies, so its names on the wire are short. */
@Serializable
public data class GuardLoad(
    /** How many calls may run at a time now: the declared slots, or fewer. */
    @SerialName("m") public val limit: Int,
    @SerialName("r") public val running: Int,
    @SerialName("q") public val queued: Int,
    /** One entry for each rank, the most urgent first; empty while the guard drains. */
    @SerialName("k") public val ranks: List<RankLoad>,
) {
    /** Returns whether the guard would queue or start a call of the rank at [rankPosition] that allows for the estimated wait. */
    public fun accepts(rankPosition: Int): Boolean = ranks.getOrElse(rankPosition) { ranks.lastOrNull() }?.accepting ?: false
}

/** The part of a [GuardLoad] that concerns one rank. */
@Serializable
public data class RankLoad(
    /** How long a call that arrives now would wait for its start. */
    @SerialName("w") public val estimatedWaitMilliseconds: Long,
    /** Whether the queue has a place for the rank. */
    @SerialName("a") public val accepting: Boolean,
    /** How long calls of the rank take on this server, by the latest of them; 0 when none was measured. */
    @SerialName("s") public val serviceMilliseconds: Long = 0,
)
