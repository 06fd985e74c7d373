package org.celeryusher.standin.load

import org.celeryusher.kernel.error.RunStatus
import kotlin.time.Duration

/** How one call ended for its caller. */
public sealed interface CallOutcome {
    /** The whole answer to the caller's own request came. */
    public data class Answered(
        public val after: Duration,
    ) : CallOutcome

    /** An answer came that is not the whole answer to the caller's own request. */
    public data object Mismatched : CallOutcome

    /** A node answered with an error. */
    public data class Refused(
        public val error: String,
        public val runStatus: RunStatus,
    ) : CallOutcome

    /** No answer came: the connection to the node failed, or the caller gave up after its deadline. */
    public data class Lost(
        public val reason: String,
    ) : CallOutcome
}
