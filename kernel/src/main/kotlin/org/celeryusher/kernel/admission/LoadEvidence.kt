package org.celeryusher.kernel.admission

import org.celeryusher.kernel.error.ErrorKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the end of a call shows about the load of the service that it was sent to. */
public enum class LoadEvidence {
    /** The service took the call and answered it in time, possibly with an error of its own. */
    SERVED,

    /** The service did not serve the call because of its load. */
    REFUSED,

    /** The call ended for a reason that is unrelated to load. */
    NONE,
    ;

    public companion object {
        private val refusals = setOf(ErrorKind.OVERLOADED, ErrorKind.SERVER_SHED, ErrorKind.NO_ENDPOINT)
        private val missedDeadlines = setOf(ErrorKind.DEADLINE_BEFORE_START, ErrorKind.DEADLINE_WHILE_RUNNING)

        /**
         * Returns the usual service time that a guard states by [serviceMilliseconds] in its reply, or null if it is not known.
         *
         * 0 means less than one millisecond if the call [wasAnswered], since the guard has measured at least this call, and otherwise that
         * nothing was measured yet. Without this, calls of such services that miss their deadline in the queue would never show load.
         */
        public fun usualTime(
            serviceMilliseconds: Long,
            wasAnswered: Boolean,
        ): Duration? = serviceMilliseconds.coerceAtLeast(if (wasAnswered) 1 else 0).takeIf { it > 0 }?.milliseconds

        /**
         * Returns what a call shows that ended with [kind], or was answered if that is null, [elapsed] after its arrival with [stated] left
         * until its deadline. A missed deadline shows load only if the call arrived with at least its [usual] service time; null is unknown.
         */
        public fun of(
            kind: ErrorKind?,
            elapsed: Duration,
            stated: Duration,
            usual: Duration?,
        ): LoadEvidence =
            when {
                kind in refusals -> REFUSED
                kind in missedDeadlines || (kind == null && elapsed > stated) -> if (usual != null && stated >= usual) REFUSED else NONE
                kind == null -> SERVED
                else -> NONE
            }
    }
}
