package org.celeryusher.standin.load

import org.celeryusher.kernel.error.RunStatus
import kotlin.time.Duration

/** Outcome of a call from the caller's point of view. */
public sealed interface CallOutcome {
    /** The caller received the complete and correct answer after [latency]. */
    public data class Answered(
        public val latency: Duration,
    ) : CallOutcome

    /** The caller received an answer that is incomplete or belongs to another request. */
    public data object Mismatched : CallOutcome

    /** A node answered with an error. [runStatus] says whether the work ran. */
    public data class Refused(
        public val error: String,
        public val runStatus: RunStatus,
    ) : CallOutcome

    /** The caller received no answer: the connection to the node failed, or the deadline passed. */
    public data class Lost(
        public val reason: String,
    ) : CallOutcome
}
