package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.RunStatus

/** How one attempt of a call ended, as far as its sender can prove. */
public sealed interface Outcome {
    /** What this outcome says about the work. */
    public val runStatus: RunStatus

    /** The backend server executed the work and answered with [httpStatus]. */
    public data class Ran(
        public val httpStatus: Int,
    ) : Outcome {
        override val runStatus: RunStatus get() = RunStatus.RAN
    }

    /**
     * It is proven that the attempt did not run and that no copy of it runs later.
     *
     * @throws IllegalArgumentException when [kind] proves less than that.
     */
    public data class NotRun(
        public val kind: ErrorKind,
    ) : Outcome {
        init {
            require(kind.runStatus == RunStatus.NOT_RUN) { "error kind $kind does not prove that the work did not run" }
        }

        override val runStatus: RunStatus get() = RunStatus.NOT_RUN
    }

    /** The attempt may have run, may still be running, or may not have run. */
    public data class Unknown(
        public val kind: ErrorKind,
    ) : Outcome {
        override val runStatus: RunStatus get() = RunStatus.UNKNOWN
    }

    public companion object {
        /** Returns the outcome that an answer with the error [kind] stands for, by the run status of its table. */
        public fun of(kind: ErrorKind): Outcome =
            when (kind.runStatus) {
                RunStatus.RAN -> Ran(kind.httpStatus)
                RunStatus.NOT_RUN -> NotRun(kind)
                RunStatus.UNKNOWN -> Unknown(kind)
            }
    }
}
