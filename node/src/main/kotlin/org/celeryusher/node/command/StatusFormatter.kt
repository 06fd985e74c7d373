package org.celeryusher.node.command

import org.celeryusher.kernel.configuration.ExceptionScope
import org.celeryusher.kernel.configuration.FleetException
import org.celeryusher.node.admin.DecisionStatus
import org.celeryusher.node.admin.GuardStatus
import org.celeryusher.node.admin.NodeStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Formats the status of a node for operators. [since] is the maximum age of its refused versions and decisions, null if unlimited. */
internal class StatusFormatter(
    private val status: NodeStatus,
    private val since: Duration?,
) {
    /** Returns the lines of the formatted status. */
    fun lines(): List<String> =
        summary() + evacuations() + guard() + exceptions() + refused() + conflicts() + calls() + decisions() + sections() + missingRecords()

    private fun summary(): List<String> {
        val held = status.control?.configuration
        val rows =
            listOf(
                listOf("instance", "${status.instance} (service ${status.service}, data centre ${status.dataCentre})"),
                listOf("up for", formatAge(status.upMilliseconds)),
                listOf("ready", status.notReady?.let { "no: $it" } ?: "yes"),
                listOf("version", status.version?.toString() ?: "none"),
                listOf("in force for", held?.let { formatAge(it.heldForMilliseconds) } ?: UNKNOWN),
                listOf("received from", held?.source ?: UNKNOWN),
                listOf("source data", sourceAge()),
                listOf("routes", "${status.routes.resolved.size} in service, ${status.routes.held.size} held${listed(status.routes.held)}"),
                listOf("members", members()),
            )
        return rows.map { (name, value) -> name.padEnd(NAME_WIDTH) + value }
    }

    private fun sourceAge(): String =
        status.control
            ?.configurationSource
            ?.ageMilliseconds
            ?.let { "${formatAge(it)} old" } ?: UNKNOWN

    private fun members(): String {
        val counts = status.members
        val notLive =
            status.control
                ?.members
                .orEmpty()
                .map { "${it.instance} ${it.state.name.lowercase()}" }
        return "${counts.live} live, ${counts.suspected} suspected, ${counts.leaving} leaving, ${counts.dead} dead${listed(notLive)}"
    }

    private fun evacuations(): List<String> =
        section(
            "evacuated data centres",
            listOf("data centre", "known for", "revision"),
            status.control
                ?.evacuations
                .orEmpty()
                .map { listOf(it.dataCentre.value, formatAge(it.knownForMilliseconds), it.revision.toString()) },
        )

    private fun guard(): List<String> {
        val guard = status.guard ?: return emptyList()
        val line = "slots".padEnd(NAME_WIDTH) + "${guard.running} running of ${guard.limit}, ${guard.queued} queued"
        return listOf(line) + rankTable(guard)
    }

    private fun rankTable(guard: GuardStatus): List<String> =
        section(
            "ranks",
            listOf("rank", "estimated wait", "accepting"),
            guard.ranks.map { listOf(it.rank.value, "${it.estimatedWaitMilliseconds} ms", if (it.accepting) "yes" else "no") },
        )

    private fun exceptions(): List<String> =
        section(
            "exceptions in force here",
            listOf("exception", "scope", "reason"),
            status.exceptions.map { exception: FleetException -> listOf(exception.name, scope(exception.scope), exception.reason) },
        )

    private fun refused(): List<String> =
        section(
            "refused versions$period",
            listOf("ago", "version", "from", "faults"),
            status.control
                ?.refused
                .orEmpty()
                .map { listOf(formatAge(it.agoMilliseconds), it.version?.toString() ?: UNKNOWN, it.source, faults(it.faults)) },
        )

    private fun faults(faults: List<String>): String {
        val further = faults.size - MAXIMUM_FAULTS_SHOWN
        return faults.take(MAXIMUM_FAULTS_SHOWN).joinToString("; ") + if (further > 0) "; and $further more" else ""
    }

    private fun conflicts(): List<String> =
        section(
            "conflicting content of the version in force",
            listOf("version", "from", "content hash"),
            status.control
                ?.conflicts
                .orEmpty()
                .map { listOf(it.version.toString(), it.source, it.contentHash.toString()) },
        )

    private fun calls(): List<String> =
        section(
            "calls since the start",
            listOf("rank", "route", "outcome", "count"),
            status.calls.map { listOf(it.rank?.value ?: "-", it.route?.value ?: "-", it.error?.name ?: "answered", it.count.toString()) },
        )

    private fun decisions(): List<String> =
        section(
            "latest decisions$period",
            listOf("ago", "subject", "decided", "reason", "inputs"),
            status.decisions.map(::decisionRow),
        )

    private fun decisionRow(decision: DecisionStatus): List<String> {
        val inputs = decision.inputs.entries.joinToString(" ") { (name, value) -> "$name=$value" }
        return listOf(formatAge(decision.agoMilliseconds), decision.subject, decision.decided, decision.reason, inputs)
    }

    private fun sections(): List<String> = status.sections.flatMap { (name, value) -> listOf("", name, "  $value") }

    private fun missingRecords(): List<String> =
        buildList {
            if (since != null && since.inWholeMilliseconds > status.upMilliseconds) {
                add("The node started ${formatAge(status.upMilliseconds)} ago and has no records from before.")
            }
            if (status.forgottenDecisions > 0) add("${status.forgottenDecisions} earlier decisions were discarded.")
        }.let { if (it.isEmpty()) it else listOf("") + it }

    private fun section(
        title: String,
        titles: List<String>,
        rows: List<List<String>>,
    ): List<String> = if (rows.isEmpty()) emptyList() else listOf("", title) + TextTable(titles, rows).lines().map { "  $it" }

    private val period: String get() = since?.let { " in the last $it" }.orEmpty()

    private fun listed(names: List<Any>): String = if (names.isEmpty()) "" else " (${names.joinToString()})"

    private fun scope(scope: ExceptionScope): String =
        listOfNotNull(
            scope.dataCentre?.let { "data centre $it" },
            scope.service?.let { "service $it" },
            scope.instance?.let { "instance $it" },
            scope.route?.let { "route $it" },
        ).joinToString()

    private fun formatAge(milliseconds: Long): String =
        if (milliseconds < MILLISECOND_FORMAT_LIMIT) "$milliseconds ms" else formatSeconds(milliseconds)

    private fun formatSeconds(milliseconds: Long): String =
        milliseconds.milliseconds.inWholeSeconds.seconds
            .toString()

    private companion object {
        const val NAME_WIDTH = 15
        const val MILLISECOND_FORMAT_LIMIT = 10_000L
        const val MAXIMUM_FAULTS_SHOWN = 10
        const val UNKNOWN = "unknown"
    }
}
