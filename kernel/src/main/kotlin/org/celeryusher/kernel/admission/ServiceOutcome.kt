package org.celeryusher.kernel.admission

/** The outcome of a started call, as far as admission control depends on it. */
public enum class ServiceOutcome {
    /** The backend server answered. */
    OK,

    /** There was no answer, or the call was aborted: its service time is only a lower bound. */
    FAILED,

    /** The backend server refused the call without running it, so it can run fewer calls concurrently than declared. */
    SHED,
}
