package org.celeryusher.node.command

/** Dispatches a command line to the command in [commands] that the first argument names. */
public class CommandLine(
    commands: List<Command>,
) {
    private val commands = commands.sortedBy(Command::name)

    /** Runs the command that the first of [arguments] names. */
    public fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        when (val commandName = arguments.firstOrNull()) {
            null -> {
                output.error.println(usage())
                ExitStatus.USAGE
            }

            "--help", "-h", "help" -> {
                output.standard.println(usage())
                ExitStatus.OK
            }

            "--version" -> {
                output.standard.println("celeryusher ${version()}")
                ExitStatus.OK
            }

            else -> {
                runCommand(commandName, arguments.drop(1), output)
            }
        }

    private fun runCommand(
        commandName: String,
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus {
        val command = commands.find { it.name == commandName }
        if (command == null) {
            output.error.println("celeryusher: there is no command \"$commandName\"")
            output.error.println(usage())
            return ExitStatus.USAGE
        }
        return command.run(arguments, output)
    }

    private fun usage(): String =
        buildString {
            appendLine("usage: celeryusher COMMAND [options]   (celeryusher COMMAND --help prints its options)")
            for (command in commands) appendLine("  ${command.name.padEnd(COMMAND_WIDTH)} ${command.summary}")
            append("  ${"--version".padEnd(COMMAND_WIDTH)} Prints the version.")
        }

    private fun version(): String = CommandLine::class.java.`package`?.implementationVersion ?: "development"

    private companion object {
        const val COMMAND_WIDTH = 10
    }
}
