package org.celeryusher.kernel.error

/** What is known about whether a call's work ran on a backend server. */
public enum class RunStatus(
    /** The value of the `Celeryusher-Run-Status` answer header. */
    public val headerValue: String,
) {
    /** The backend server executed the work and answered. */
    RAN("ran"),

    /** It is proven that the work did not run and that no late copy of this attempt can run any more. */
    NOT_RUN("not-run"),

    /** The work may or may not have run. */
    UNKNOWN("unknown"),
}
