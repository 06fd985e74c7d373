package org.celeryusher.node.command

/** Finds the command that the first word names, among those that registered themselves. */
public class CommandLine(
    commands: List<Command>,
) {
    private val commands = commands.sortedBy(Command::name)

    /** Runs the command that [arguments] name. */
    public fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        when (val word = arguments.firstOrNull()) {
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
                runNamed(word, arguments.drop(1), output)
            }
        }

    private fun runNamed(
        word: String,
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus {
        val command = commands.find { it.name == word }
        if (command == null) {
            output.error.println("celeryusher: there is no command \"$word\"")
            output.error.println(usage())
            return ExitStatus.USAGE
        }
        return command.run(arguments, output)
    }

    private fun usage(): String =
        buildString {
            appendLine("usage: celeryusher COMMAND [options]   (celeryusher COMMAND --help tells its options)")
            for (command in commands) appendLine("  ${command.name.padEnd(COMMAND_WIDTH)} ${command.summary}")
            append("  ${"--version".padEnd(COMMAND_WIDTH)} Prints the version.")
        }

    private fun version(): String = CommandLine::class.java.`package`?.implementationVersion ?: "development"

    private companion object {
        const val COMMAND_WIDTH = 10
    }
}
