package org.celeryusher.kernel.execution

/** What a proxy does after one attempt of a call has ended. */
public sealed interface RetryDecision {
    /** Send the work once more, to an endpoint not tried yet, marked as a retry so that no node below retries it. */
    public data class Retry(
        public val attempt: Int,
    ) : RetryDecision

    /** Answer the caller with [outcome]; [markRetried] tells the levels above not to retry. */
    public data class Answer(
        public val outcome: Outcome,
        public val reason: AnswerReason,
        public val markRetried: Boolean,
    ) : RetryDecision
}

/** Why a call is answered rather than tried again. */
public enum class AnswerReason {
    /** The backend server answered. */
    RAN,

    /** The error does not go away by trying another endpoint. */
    NOT_RETRYABLE,

    /** The work may have run and is not idempotent. */
    MAY_HAVE_RUN,

    /** The request is itself a retry of a level above. */
    RETRIED_ABOVE,

    /** A level below has retried already. */
    RETRIED_BELOW,

    /** The call has been tried as often as its settings allow. */
    ATTEMPTS_SPENT,

    /** Every endpoint has been tried. */
    NO_OTHER_ENDPOINT,

    /** No time is left for another attempt. */
    DEADLINE,

    /** The service's retry budget is spent at this node. */
    BUDGET_SPENT,
}
