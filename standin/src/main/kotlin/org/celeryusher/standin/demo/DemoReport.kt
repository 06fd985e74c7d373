package org.celeryusher.standin.demo

import kotlinx.serialization.Serializable
import org.celeryusher.standin.load.RankResult

/** A promise of the system and whether it held in this run. */
@Serializable
public data class PromiseResult(
    public val promise: String,
    public val held: Boolean,
    public val detail: String,
)

/** A published configuration change and its effect on the nodes. */
@Serializable
public data class PublicationResult(
    public val version: Long,
    public val change: String,
    /** Time until the change was in force on the last node, or null if it did not come into force on every node. */
    public val inForceAfterMilliseconds: Long?,
    /** The faults for which the document was refused, one per entry. */
    public val refusedBecause: List<String> = emptyList(),
)

/** Load that the nodes put on the platform and on each other. */
@Serializable
public data class ControlCost(
    public val platformCalls: Long,
    public val platformCallsPerNodeAndSecond: Double,
    public val platformCallsMaximumPerSecond: Long,
    /** Bytes of control messages per node and second according to the nodes' metrics, or null if no node reports them. */
    public val controlBytesPerNodeAndSecond: Double?,
)

/** Results of a run of the demo. */
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
