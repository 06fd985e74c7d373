package org.celeryusher.kernel.execution

import org.celeryusher.kernel.time.Moment

/** Decides which of two copies of a call is answered. */
public object HedgeRace {
    /** One of the two copies of a call. */
    public enum class Side {
        FIRST,
        COPY,
    }

    /**
     * Returns whether an attempt that ended with [outcome] is an answer for both copies.
     *
     * A status that promises that the request has not run is none, since the other copy may run.
     */
    public fun isUsable(outcome: Outcome): Boolean =
        outcome is Outcome.Ran && outcome.httpStatus < FIRST_SERVER_ERROR && !AnswerPolicy.promisesNotRun(outcome)

    /**
     * Returns what follows after [side], the first of two copies of [call] to end, has ended with [outcome].
     *
     * If [showsCrash], the request may have ended a server, and the other copy might end a second one. A retry would be sent at [retryAt].
     */
    public fun stepAfter(
        side: Side,
        outcome: Outcome,
        showsCrash: Boolean,
        call: HedgeCall,
        retryAt: Moment,
    ): HedgeStep =
        when {
            showsCrash -> HedgeStep.CANCEL_OTHER
            isSuccess(outcome) || (side == Side.FIRST && isUsable(outcome)) -> HedgeStep.ANSWER
            // A server that refuses fast must not beat one that is slow with a success.
            isUsable(outcome) -> HedgeStep.AWAIT_OTHER_BRIEFLY
            // A copy that has not run leaves the first attempt as it was.
            side == Side.COPY && outcome is Outcome.NotRun -> HedgeStep.AWAIT_OTHER
            isRetried(outcome, call, retryAt) -> HedgeStep.AWAIT_OTHER_BRIEFLY
            else -> HedgeStep.AWAIT_OTHER
        }

    /** Returns whether a retry of [call] at [now] may follow [outcome] when the other copy is cancelled, which counts as an attempt. */
    private fun isRetried(
        outcome: Outcome,
        call: HedgeCall,
        now: Moment,
    ): Boolean {
        val progress =
            CallProgress(
                idempotent = call.idempotent,
                attempts = if (RetryPolicy.reachedServer(outcome)) 2 else 1,
                maximumAttempts = call.maximumAttempts,
                deadline = call.deadline,
                untriedEndpoints = call.otherEndpoints - 1,
                requestIsRetry = call.requestIsRetry,
                answerIsRetried = false,
                arrivedAt = call.arrivedAt,
            )
        return RetryPolicy.decide(outcome, progress, now) is RetryDecision.Retry
    }

    /**
     * Returns whose result counts after both copies have ended, the first with [first] and the second one with [copy].
     *
     * A status below 400 counts before any other result, then one below 500, then another one of a server, then one of which it is unknown
     * whether it ran, since a refusal, by status or otherwise, states that nothing has run. A refusal at a server counts before one at a
     * guard. If the results are alike, the first attempt counts if it is usable, else the copy, since it was sent later.
     */
    public fun decide(
        first: Outcome,
        copy: Outcome,
    ): Side {
        val difference = valueOf(first).compareTo(valueOf(copy))
        val isFirst = difference > 0 || (difference == 0 && isUsable(first)) || !RetryPolicy.reachedServer(copy)
        return if (isFirst) Side.FIRST else Side.COPY
    }

    private fun isSuccess(outcome: Outcome): Boolean = outcome is Outcome.Ran && outcome.httpStatus < FIRST_CLIENT_ERROR

    private fun valueOf(outcome: Outcome): Int =
        when {
            isSuccess(outcome) -> 5
            isUsable(outcome) -> 4
            outcome is Outcome.Ran && !AnswerPolicy.promisesNotRun(outcome) -> 3
            outcome is Outcome.Unknown -> 2
            RetryPolicy.reachedServer(outcome) -> 1
            else -> 0
        }

    private const val FIRST_CLIENT_ERROR = 400
    private const val FIRST_SERVER_ERROR = 500
}
