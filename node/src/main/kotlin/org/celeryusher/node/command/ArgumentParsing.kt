package org.celeryusher.node.command

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.ParserProperties

/** The options that all commands have; the options class of each command extends it. */
public open class CommonOptions {
    /** Whether to print the options of the command instead of running it. */
    @field:Option(name = "--help", aliases = ["-h"], help = true, usage = "print the options")
    public var help: Boolean = false
}

/**
 * Parses [arguments] into [options] and runs [action] with them.
 *
 * Prints an error for invalid arguments, and the usage for `--help`; [action] does not run in either case.
 */
public fun <O : CommonOptions> withOptions(
    command: Command,
    options: O,
    arguments: List<String>,
    output: CommandOutput,
    action: (O) -> ExitStatus,
): ExitStatus {
    val parser = CmdLineParser(options, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))
    return try {
        parser.parseArgument(arguments)
        if (options.help) {
            output.standard.println("celeryusher ${command.name}: ${command.summary}")
            parser.printUsage(output.standard)
            ExitStatus.OK
        } else {
            action(options)
        }
    } catch (error: CmdLineException) {
        output.error.println("celeryusher ${command.name}: ${error.message}")
        parser.printUsage(output.error)
        ExitStatus.USAGE
    }
}

private const val USAGE_WIDTH = 120
