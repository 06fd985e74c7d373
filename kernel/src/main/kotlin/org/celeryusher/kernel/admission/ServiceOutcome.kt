package org.celeryusher.kernel.admission

/** How a started call ended, as far as admission needs to know. */
public enum class ServiceOutcome {
    /** The backend server answered. */
    OK,

    /** No answer came, or the call was cut short: its time counts only as a lower bound. */
    FAILED,

    /** The backend server refused the call unrun, so it takes fewer calls at a time than declared. */
    SHED,
}
