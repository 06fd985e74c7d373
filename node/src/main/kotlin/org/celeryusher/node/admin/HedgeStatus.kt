package org.celeryusher.node.admin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.celeryusher.kernel.execution.HedgeSummary
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.node.metrics.HedgeMeters

/** The section of a node's status about hedged calls: counts since the start, and the recent window of each hedged route. */
@Serializable
internal data class HedgeStatus(
    val sent: Long,
    val won: Long,
    val refusedByBudget: Long,
    val refusedByOverload: Long,
    val routes: List<HedgedRouteStatus>,
) {
    companion object {
        fun describe(
            summaries: List<HedgeSummary>,
            meters: HedgeMeters,
        ): JsonElement {
            val routes = summaries.map { HedgedRouteStatus(it.route, it.highLatency?.inWholeMilliseconds, it.firstAttempts, it.copies) }
            return Json.encodeToJsonElement(
                HedgeStatus(meters.sentCount, meters.wonCount, meters.budgetRefusals, meters.overloadRefusals, routes),
            )
        }
    }
}

/** The recent first attempts on one route that may be hedged, and their copies. */
@Serializable
internal data class HedgedRouteStatus(
    val route: RouteName,
    /** The latency that 99 of 100 first attempts did not exceed. */
    val highLatencyMilliseconds: Long?,
    val firstAttempts: Int,
    val copies: Int,
)
