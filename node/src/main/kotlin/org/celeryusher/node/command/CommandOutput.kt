package org.celeryusher.node.command

import java.io.PrintStream

/** Where a command prints: results to [standard], faults to [error]. */
public class CommandOutput(
    public val standard: PrintStream,
    public val error: PrintStream,
)
