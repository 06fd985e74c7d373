package org.celeryusher.node.command

/** The result of a command; [code] is the exit status of the process. */
public enum class ExitStatus(
    public val code: Int,
) {
    /** The command succeeded. */
    OK(0),

    /** The command failed, or the checked document or run has faults. */
    FAILURE(1),

    /** The command line is invalid, or a file that it names cannot be read or has invalid node settings. */
    USAGE(2),
}
