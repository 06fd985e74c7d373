package org.celeryusher.kernel.execution

/** The decision of a proxy after an attempt of a call has ended. */
public sealed interface RetryDecision {
    /** Retry at an endpoint that was not tried yet. The request is marked as a retry, so that no downstream node retries it. */
    public data class Retry(
        public val attempt: Int,
    ) : RetryDecision

    /** Answer the caller with [outcome]. If [markRetried] is true, the answer is marked so that no upstream node retries the call. */
    public data class Answer(
        public val outcome: Outcome,
        public val reason: AnswerReason,
        public val markRetried: Boolean,
    ) : RetryDecision
}

/** Why a call is answered instead of being retried. */
public enum class AnswerReason {
    /** The backend server answered. */
    RAN,

    /** A retry at another endpoint cannot resolve the error. */
    NOT_RETRYABLE,

    /** The work may have run and is not idempotent. */
    MAY_HAVE_RUN,

    /** The request is itself a retry by an upstream node. */
    RETRIED_ABOVE,

    /** A downstream node has already retried. */
    RETRIED_BELOW,

    /** The call has reached its maximum number of attempts or of guards asked. */
    ATTEMPTS_SPENT,

    /** Every endpoint has been tried. */
    NO_OTHER_ENDPOINT,

    /** Too little time is left for another attempt. */
    DEADLINE,

    /** Guards refused the retry, because the retry budget of the service or of one that it calls is exhausted. */
    BUDGET_SPENT,
}
