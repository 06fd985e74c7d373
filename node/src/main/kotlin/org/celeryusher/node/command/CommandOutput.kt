package org.celeryusher.node.command

import java.io.PrintStream

/** The output streams of a command: [standard] for results, [error] for error messages. */
public class CommandOutput(
    public val standard: PrintStream,
    public val error: PrintStream,
)
