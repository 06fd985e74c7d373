package org.celeryusher.standin.demo

import org.celeryusher.standin.load.RankResult
import org.celeryusher.standin.report.TextTable
import java.util.Locale

/** Formats a [DemoReport] as text. */
internal object DemoTable {
    fun render(report: DemoReport): String =
        listOf(
            "${report.deployment}: ${report.nodes} nodes, ${report.seconds} s",
            publications(report),
            control(report),
            ranks(report),
            refusals(report),
            "runs of work that must run at most once: ${report.onceWorks} works, ${report.maximumRunsPerWork} at most for one work",
            promises(report),
        ).filter(String::isNotEmpty).joinToString("\n\n")

    private fun publications(report: DemoReport): String {
        val table = TextTable(listOf("version", "change", "in force on all after"))
        for (publication in report.publications) {
            val outcome = if (publication.refusedBecause.isEmpty()) "not on all" else "refused"
            table.addRow(publication.version, publication.change, publication.inForceAfterMilliseconds?.let { "$it ms" } ?: outcome)
        }
        val refused =
            report.publications.flatMap { publication ->
                publication.refusedBecause.map { "version ${publication.version}: $it" }
            }
        return (listOf(table.toString()) + refused).joinToString("\n")
    }

    private fun control(report: DemoReport): String {
        val control = report.control
        val bytes = control.controlBytesPerNodeAndSecond?.let { "${decimal(it)} bytes" } ?: "not reported by the nodes"
        return "platform calls: ${control.platformCalls}, ${decimal(control.platformCallsPerNodeAndSecond)} a node and second, " +
            "at most ${control.platformCallsMaximumPerSecond} in one second\ncontrol bytes a node and second: $bytes"
    }

    private fun ranks(report: DemoReport): String {
        val table = TextTable(listOf("rank", "calls", "in time", "late", "not run", "unknown", "sent again", "p50 ms", "p99 ms"))
        for (rank in report.ranks) {
            table.addRow(
                rank.rank,
                rank.calls,
                "${decimal(rank.shareInTime * PERCENT)} %",
                rank.late,
                rank.notRun,
                rank.unknown,
                rank.sentAgain,
                decimal(rank.p50Milliseconds),
                decimal(rank.p99Milliseconds),
            )
        }
        return table.toString()
    }

    private fun refusals(report: DemoReport): String {
        if (report.ranks.all { it.refusals.isEmpty() }) return "no call was refused or lost"
        val table = TextTable(listOf("rank", "refused or lost because", "calls"))
        for (rank in report.ranks) addRefusals(table, rank)
        return table.toString()
    }

    private fun addRefusals(
        table: TextTable,
        rank: RankResult,
    ) {
        for (refusal in rank.refusals) table.addRow(rank.rank, refusal.reason, refusal.count)
    }

    private fun promises(report: DemoReport): String {
        val table = TextTable(listOf("promise", "", "seen"))
        for (promise in report.promises) table.addRow(promise.promise, if (promise.held) "held" else "BROKEN", promise.detail)
        return table.toString()
    }

    private fun decimal(number: Double): String = String.format(Locale.ROOT, "%.2f", number)

    private const val PERCENT = 100
}
