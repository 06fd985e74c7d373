package org.celeryusher.node.command

import org.celeryusher.kernel.configuration.ExceptionScope
import org.celeryusher.kernel.configuration.FleetException
import org.celeryusher.node.admin.ConfigurationEvent
import org.celeryusher.node.admin.DecisionStatus
import org.celeryusher.node.admin.GuardStatus
import org.celeryusher.node.admin.NodeStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Lays out the status of a node for a person; [since] is how far back its events and decisions reach, null for all that are kept. */
internal class StatusText(
    private val status: NodeStatus,
    private val since: Duration?,
) {
    /** Returns the lines. */
    fun lines(): List<String> = summary() + guard() + exceptions() + events() + calls() + decisions() + sections() + forgotten()

    private fun summary(): List<String> {
        val configuration = status.configuration
        val members = status.members
        val rows =
            listOf(
                listOf("instance", "${status.instance} (service ${status.service}, data centre ${status.dataCentre})"),
                listOf("up for", age(status.upMilliseconds)),
                listOf("ready", status.notReady?.let { "no: $it" } ?: "yes"),
                listOf("version", configuration.version?.toString() ?: "none"),
                listOf("held for", configuration.heldForMilliseconds?.let(::age) ?: UNKNOWN),
                listOf("taken from", configuration.source ?: UNKNOWN),
                listOf("source's news", configuration.sourceAgeMilliseconds?.let { "${age(it)} old" } ?: UNKNOWN),
                listOf("routes", "${status.routes.resolved.size} in service, ${status.routes.held.size} held${listed(status.routes.held)}"),
                listOf(
                    "members",
                    "${members.live} live, ${members.suspected} suspected, ${members.leaving} leaving, ${members.dead} dead" +
                        listed(members.notLive.map { "${it.instance} ${it.state.name.lowercase()}" }),
                ),
            )
        return rows.map { (name, value) -> name.padEnd(NAME_WIDTH) + value }
    }

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

    private fun events(): List<String> =
        section(
            "versions taken and refused$period",
            listOf("ago", "version", "from", "what"),
            status.configuration.events.map(::eventRow),
        )

    private fun eventRow(event: ConfigurationEvent): List<String> {
        val ago = age(event.agoMilliseconds)
        return when (event) {
            is ConfigurationEvent.Taken -> {
                val below = event.belowFloor?.let { ", though peers had reported version $it" }.orEmpty()
                listOf(ago, event.version.toString(), event.source, "taken$below")
            }

            is ConfigurationEvent.Refused -> {
                val further = if (event.furtherFaults > 0) "; and ${event.furtherFaults} more" else ""
                listOf(ago, event.version?.toString() ?: UNKNOWN, event.source, "refused: ${event.faults.joinToString("; ")}$further")
            }

            is ConfigurationEvent.Conflict -> {
                val hashes = "content ${event.offeredHash}, held ${event.heldHash}"
                listOf(ago, event.version.toString(), event.source, "refused: the held version's number with other content ($hashes)")
            }
        }
    }

    private fun calls(): List<String> =
        section(
            "calls since the start",
            listOf("rank", "route", "outcome", "count"),
            status.calls.map { listOf(it.rank?.value ?: "-", it.route?.value ?: "-", it.error?.name ?: "answered", it.count.toString()) },
        )

    private fun decisions(): List<String> =
        section(
            "last decisions$period",
            listOf("ago", "subject", "decided", "reason", "inputs"),
            status.decisions.map(::decisionRow),
        )

    private fun decisionRow(decision: DecisionStatus): List<String> {
        val inputs = decision.inputs.entries.joinToString(" ") { (name, value) -> "$name=$value" }
        return listOf(age(decision.agoMilliseconds), decision.subject, decision.decided, decision.reason, inputs)
    }

    private fun sections(): List<String> = status.sections.flatMap { (name, value) -> listOf("", name, "  $value") }

    private fun forgotten(): List<String> =
        buildList {
            if (since != null && since.inWholeMilliseconds > status.upMilliseconds) {
                add("The node started ${age(status.upMilliseconds)} ago and knows nothing from before.")
            }
            if (status.forgottenDecisions > 0) add("${status.forgottenDecisions} earlier decisions are not kept any more.")
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

    private fun age(milliseconds: Long): String = if (milliseconds < MILLISECONDS_SHOWN) "$milliseconds ms" else wholeSeconds(milliseconds)

    private fun wholeSeconds(milliseconds: Long): String =
        milliseconds.milliseconds.inWholeSeconds.seconds
            .toString()

    private companion object {
        const val NAME_WIDTH = 15
        const val MILLISECONDS_SHOWN = 10_000L
        const val UNKNOWN = "unknown"
    }
}
