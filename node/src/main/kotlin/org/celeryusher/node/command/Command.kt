package org.celeryusher.node.command

/**
 * One subcommand of the `celeryusher` program.
 *
 * Commands register themselves as `java.util.ServiceLoader` providers, so a module adds a command without a change elsewhere.
 */
public interface Command {
    /** The first command-line argument, which selects this command. */
    public val name: String

    /** One sentence for the list of commands. */
    public val summary: String

    /** Runs the command with the arguments that follow its name. */
    public fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus
}
