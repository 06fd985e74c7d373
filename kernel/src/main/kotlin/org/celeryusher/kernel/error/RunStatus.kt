package org.celeryusher.kernel.error

/** Whether a call's work ran on a backend server, as far as it is known. */
public enum class RunStatus(
    /** The value of the `Celeryusher-Run-Status` answer header. */
    public val headerValue: String,
) {
    /** The backend server executed the work and answered. */
    RAN("ran"),

    /** The work provably did not run, and no late copy of this attempt can run. */
    NOT_RUN("not-run"),

    /** The work may or may not have run. */
    UNKNOWN("unknown"),
}
