package org.celeryusher.node.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import org.celeryusher.node.admin.NodeStatus
import org.kohsuke.args4j.Option
import kotlin.time.Duration

/** Prints the status of a node. */
public class StatusCommand : Command {
    override val name: String get() = "status"
    override val summary: String get() = "Prints the status of a node: configuration, members, calls and decisions."

    /** The options of `celeryusher status`. */
    public class Options : CommonOptions() {
        /** The admin address of the node. */
        @field:Option(name = "--node", metaVar = "HOST:PORT", required = true, usage = "the node's admin address")
        public var node: String = ""

        /** The maximum age of the refused versions and decisions that are printed; null for all. */
        @field:Option(
            name = "--since",
            metaVar = "DURATION",
            usage = "show only refused versions and decisions within this time, such as 90m, 12h or 30d",
        )
        public var since: String? = null

        /** Whether to print JSON instead of tables. */
        @field:Option(name = "--json", usage = "print JSON")
        public var json: Boolean = false
    }

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        withOptions(this, Options(), arguments, output) { options ->
            parseSince(options.since)
                .flatMap { since -> parseNodeAddress(options.node).map { it to since } }
                .fold(
                    { fault -> fail(fault, ExitStatus.USAGE, output) },
                    { (node, since) ->
                        AdminClient(node).read("/status", emptyMap(), NodeStatus.serializer()).fold(
                            { fault -> fail(fault, ExitStatus.FAILURE, output) },
                            { status -> print(status, since, options.json, output) },
                        )
                    },
                )
        }

    private fun parseSince(text: String?): Either<String, Duration?> {
        if (text == null) return null.right()
        val duration = Duration.parseOrNull(text)
        return if (duration != null && duration.isPositive()) {
            duration.right()
        } else {
            "--since: \"${printableLine(text)}\" is not a duration such as 90m, 12h or 30d".left()
        }
    }

    private fun fail(
        fault: String,
        status: ExitStatus,
        output: CommandOutput,
    ): ExitStatus {
        output.error.println("celeryusher status: $fault")
        return status
    }

    private fun print(
        status: NodeStatus,
        since: Duration?,
        json: Boolean,
        output: CommandOutput,
    ): ExitStatus {
        val shown = if (since == null) status else status.within(since)
        if (json) {
            output.standard.println(format.encodeToString(shown))
        } else {
            StatusFormatter(shown, since).lines().forEach { output.standard.println(printableLine(it)) }
        }
        return ExitStatus.OK
    }

    private companion object {
        val format = Json { prettyPrint = true }
    }
}

/** Returns this status without the refused versions and decisions that are older than [since]. */
internal fun NodeStatus.within(since: Duration): NodeStatus {
    val limit = since.inWholeMilliseconds
    return copy(
        control = control?.let { status -> status.copy(refused = status.refused.filter { it.agoMilliseconds <= limit }) },
        decisions = decisions.filter { it.agoMilliseconds <= limit },
    )
}
