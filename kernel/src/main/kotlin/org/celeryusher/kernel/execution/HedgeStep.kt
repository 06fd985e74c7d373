package org.celeryusher.kernel.execution

/** What a proxy does after one of two copies of a call has ended. */
public enum class HedgeStep {
    /** The result is the answer, and the other copy is cancelled. */
    ANSWER,

    /** The other copy is cancelled, and the retry policy decides on the result. */
    CANCEL_OTHER,

    /** The result of the other copy is awaited, since no retry could follow or the first attempt is not concerned. */
    AWAIT_OTHER,

    /** The result of the other copy is awaited for the usual latency of the route. Then it is cancelled, so that a retry can follow. */
    AWAIT_OTHER_BRIEFLY,
}
