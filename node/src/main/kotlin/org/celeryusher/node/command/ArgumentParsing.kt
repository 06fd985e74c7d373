package org.celeryusher.node.command

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.ParserProperties

/** The options that every command has; a command's options class extends it. */
public open class CommonOptions {
    /** Whether the command's options are printed in place of running it. */
    @field:Option(name = "--help", aliases = ["-h"], help = true, usage = "print the options")
    public var help: Boolean = false
}

/**
 * Reads [arguments] into [options] and then runs [action] with it.
 *
 * Words that cannot be understood, and `--help`, are answered here.
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
