package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind

/**
 * Decides which of the results of a call's attempts its caller gets.
 *
 * The status of an answer holds for all attempts of the call, while a guard or a backend server that refuses a retry knows only of its own.
 */
public object AnswerPolicy {
    /**
     * Returns whether a caller takes an answer with [outcome] as the promise that the request has not run and will not run.
     *
     * That applies to some statuses whoever has chosen them, also to those of a backend server.
     */
    public fun promisesNotRun(outcome: Outcome): Boolean =
        when (outcome) {
            is Outcome.Ran -> outcome.httpStatus in promisingStatuses
            is Outcome.NotRun -> true
            is Outcome.Unknown -> false
        }

    /**
     * Returns whether the result of an attempt that ended with [latest] is answered in place of that of the attempts before it, which is
     * [answered].
     *
     * A promise does not replace the result of an attempt that may have run. That no further attempt is made does not replace a refusal by a
     * backend server either.
     */
    public fun replaces(
        latest: Outcome,
        answered: Outcome,
    ): Boolean =
        when {
            !promisesNotRun(latest) -> true
            !promisesNotRun(answered) -> false
            latest is Outcome.NotRun && latest.kind in noFurtherAttempt -> !RetryPolicy.reachedServer(answered)
            else -> true
        }

    /** The statuses by which callers of this platform know that a request has not run. */
    private val promisingStatuses = setOf(408, 421, 429, 503)

    private val noFurtherAttempt = setOf(ErrorKind.RETRY_BUDGET_SPENT, ErrorKind.NO_ENDPOINT, ErrorKind.EVACUATED)
}
