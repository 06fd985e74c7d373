package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.RunStatus

/** What the sender of an attempt can prove about how the attempt ended. */
public sealed interface Outcome {
    /** Whether the work ran, according to this outcome. */
    public val runStatus: RunStatus

    /** The backend server executed the work and answered with [httpStatus]. */
    public data class Ran(
        public val httpStatus: Int,
    ) : Outcome {
        override val runStatus: RunStatus get() = RunStatus.RAN
    }

    /**
     * The attempt provably did not run, and no copy of it can run later.
     *
     * @throws IllegalArgumentException if the run status of [kind] is not [RunStatus.NOT_RUN].
     */
    public data class NotRun(
        public val kind: ErrorKind,
    ) : Outcome {
        init {
            require(kind.runStatus == RunStatus.NOT_RUN) { "error kind $kind does not prove that the work did not run" }
        }

        override val runStatus: RunStatus get() = RunStatus.NOT_RUN
    }

    /** It is unknown whether the attempt ran, is still running, or never ran. */
    public data class Unknown(
        public val kind: ErrorKind,
    ) : Outcome {
        override val runStatus: RunStatus get() = RunStatus.UNKNOWN
    }

    public companion object {
        /** Returns the outcome of an attempt that was answered with the error [kind], according to [ErrorKind.runStatus]. */
        public fun of(kind: ErrorKind): Outcome =
            when (kind.runStatus) {
                RunStatus.RAN -> Ran(kind.httpStatus)
                RunStatus.NOT_RUN -> NotRun(kind)
                RunStatus.UNKNOWN -> Unknown(kind)
            }
    }
}
