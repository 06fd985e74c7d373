package org.celeryusher.node.command

import org.celeryusher.kernel.routing.CandidateExclusion
import org.celeryusher.kernel.routing.GuardAnswer
import org.celeryusher.node.admin.RouteCandidateReport
import org.celeryusher.node.admin.RouteReport
import org.celeryusher.node.admin.RouteServiceReport
import java.util.Locale

/** Formats a [RouteReport] as text. */
internal class RouteFormatter(
    private val report: RouteReport,
) {
    /** Returns the lines of the text. */
    fun lines(): List<String> = head() + report.services.flatMap(::serviceLines)

    private fun head(): List<String> {
        val host = report.host ?: "any host"
        val settings = report.settings
        return listOfNotNull(
            "version ${report.version} at ${report.node} (data centre ${report.dataCentre})",
            entry("route", "${report.route}: ${report.method} $host${report.pathPrefix}"),
            entry("rank", "${report.rank}, ${if (report.idempotent) "idempotent" else "runs at most once"}"),
            report.allowedRegions.takeIf { it.isNotEmpty() }?.let { entry("regions", it.joinToString()) },
            settings?.let {
                entry(
                    "settings",
                    "deadline ${it.deadlineMilliseconds} ms, target ${it.targetLatencyMilliseconds} ms, at most ${it.maximumAttempts} " +
                        "attempts, hedge share ${it.hedgeShare}",
                )
            },
            entry("retries", "${number(report.retryBudgetLeft)} left in the part of the budget that this node's guard has"),
            entry("crashes", crashes()),
            entry("refused", report.refusal?.let { "$it: ${it.meaning}" } ?: "no"),
        )
    }

    private fun crashes(): String {
        val others = "${report.quarantinedRequests} requests are quarantined"
        val quarantinedFor = report.quarantinedForMilliseconds
        return when {
            quarantinedFor != null -> "this request without a body is quarantined for $quarantinedFor ms; $others"
            report.isSuspected -> "this request without a body is suspected and runs alone; $others"
            else -> "this request without a body is not suspected; $others"
        }
    }

    private fun serviceLines(service: RouteServiceReport): List<String> {
        val total = report.services.sumOf { it.weight ?: 0 }
        val weight = service.weight?.let { ", weight $it of $total" }.orEmpty()
        val throttle = "the throttle refuses ${number(service.throttleProbability * PERCENT)}%"
        val title = "service ${service.service}$weight: $throttle"
        val rows = service.candidates.map(::row)
        return listOf("", title) + if (rows.isEmpty()) listOf("  no server") else TextTable(TITLES, rows).lines().map { "  $it" }
    }

    private fun row(candidate: RouteCandidateReport): List<String> {
        val cost = candidate.cost
        val guard = candidate.guard
        return listOf(
            candidate.instance.value,
            candidate.dataCentre.value,
            candidate.state.name.lowercase(),
            cost?.let { "${number(it.totalMilliseconds)} ms" } ?: NONE,
            cost
                ?.let { listOf(it.queueingMilliseconds, it.serviceMilliseconds, it.roundTripMilliseconds, it.transferMilliseconds) }
                ?.joinToString(" + ", transform = ::number) ?: NONE,
            candidate.drawWeight?.let(::number) ?: NONE,
            guard?.let { "${it.ageMilliseconds} ms ago" } ?: NONE,
            guard?.let { "${it.running} of ${it.limit}, ${it.queued} queued" } ?: NONE,
            guard?.callsPerSecond?.let(::number) ?: NONE,
            answer(candidate),
            candidate.excluded?.let(::reason) ?: "usable",
        )
    }

    private fun answer(candidate: RouteCandidateReport): String =
        when (candidate.guardAnswer) {
            GuardAnswer.STARTS -> "starts it"
            GuardAnswer.QUEUES -> "queues it, ${candidate.guard?.estimatedWaitMilliseconds ?: 0} ms"
            GuardAnswer.REFUSES -> "refuses the rank"
            GuardAnswer.UNKNOWN -> "unknown"
        }

    private fun reason(exclusion: CandidateExclusion): String =
        when (exclusion) {
            CandidateExclusion.DEAD -> "excluded: failed or stopped"
            CandidateExclusion.LEAVING -> "excluded: leaves"
            CandidateExclusion.STATED_LEAVING -> "excluded: its server states that it leaves"
            CandidateExclusion.SUSPECTED -> "excluded: does not answer probes"
            CandidateExclusion.NOT_IN_ROUTING_TABLE -> "excluded: the routing table leaves it out for this route"
            CandidateExclusion.EJECTED -> "excluded: ejected as an outlier"
        }

    private fun entry(
        name: String,
        value: String,
    ): String = name.padEnd(NAME_WIDTH) + value

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.1f", value)

    private companion object {
        const val NAME_WIDTH = 10
        const val PERCENT = 100
        const val NONE = "-"
        val TITLES =
            listOf(
                "server",
                "data centre",
                "state",
                "cost",
                "queueing + service + way + transfer",
                "weight",
                "reported",
                "running",
                "calls/s",
                "guard",
                "use",
            )
    }
}
