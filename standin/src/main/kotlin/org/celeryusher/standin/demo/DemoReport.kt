package org.celeryusher.standin.demo

import kotlinx.serialization.Serializable
import org.celeryusher.standin.load.RankResult

/** One promise, and whether it held in this run. */
@Serializable
public data class PromiseResult(
    public val promise: String,
    public val held: Boolean,
    public val detail: String,
)

/** One publication and how the nodes took it. */
@Serializable
public data class PublicationResult(
    public val version: Long,
    public val change: String,
    /** Milliseconds until the last node had it in force; null when it is on no node or not on all. */
    public val inForceAfterMilliseconds: Long?,
    /** Why it was refused, a line a fault. */
    public val refusedBecause: List<String> = emptyList(),
)

/** What the nodes cost the platform and each other. */
@Serializable
public data class ControlCost(
    public val platformCalls: Long,
    public val platformCallsPerNodeAndSecond: Double,
    public val platformCallsMaximumPerSecond: Long,
    /** Control bytes a node and second, as the nodes' metrics tell; null when they tell nothing. */
    public val controlBytesPerNodeAndSecond: Double?,
)

/** Everything that one run of the demo measured. */
@Serializable
public data class DemoReport(
    public val deployment: String,
    public val nodes: Int,
    public val seconds: Int,
    public val publications: List<PublicationResult>,
    public val control: ControlCost,
    public val ranks: List<RankResult>,
    public val onceWorks: Int,
    public val maximumRunsPerWork: Int,
    public val promises: List<PromiseResult>,
) {
    /** Whether every promise held. */
    public val allHeld: Boolean get() = promises.all(PromiseResult::held)
}
