package org.celeryusher.node.command

/** How a command ends, and the exit status of the process. */
public enum class ExitStatus(
    public val code: Int,
) {
    /** Done; what was checked holds. */
    OK(0),

    /** What was checked is wrong. */
    WRONG(1),

    /** The words on the command line, or a file that they name, could not be understood. */
    USAGE(2),
}
