package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.Resend
import org.celeryusher.kernel.time.Moment

/** The state of a call at its proxy that decides whether the call is retried. */
public data class CallProgress(
    public val idempotent: Boolean,
    /** The number of attempts so far that may have reached a backend server, including the one that has just ended. */
    public val attempts: Int,
    public val maximumAttempts: Int,
    public val deadline: DeadlineBudget,
    /** The number of endpoints that were not tried yet. */
    public val untriedEndpoints: Int,
    /** Whether the request has the header `Celeryusher-Retry`. */
    public val requestIsRetry: Boolean,
    /** Whether the answer has the header `Celeryusher-Retried`. */
    public val answerIsRetried: Boolean,
    /** The number of guards that decided on admission of the call, see [RetryPolicy.reachedAdmission]. A refusal does not load a server. */
    public val admissionChecks: Int = attempts,
    public val maximumAdmissionChecks: Int = Int.MAX_VALUE,
    /** The number of guards that refused the retry because of the budget. */
    public val budgetRefusals: Int = 0,
    /** When the call arrived at this node. */
    public val arrivedAt: Moment = Moment.DISTANT_PAST,
)

/** Decides whether a call is retried. Only work that is idempotent or that provably did not run is ever retried. */
public object RetryPolicy {
    /**
     * Returns what to do after an attempt of [call] ended with [outcome].
     *
     * The guard (the admission control in front of a backend server) that a retry goes to decides whether the retry budget allows it. Since
     * each guard has a part of that budget, another one is asked after a refusal. The number of guards asked is limited. An idempotent call
     * that a backend server answered with a status of 500 or above is retried only if at least as much time remains as has elapsed since the
     * call arrived.
     */
    public fun decide(
        outcome: Outcome,
        call: CallProgress,
        now: Moment,
    ): RetryDecision {
        val reason = reasonToAnswer(outcome, call, now)
        return if (reason == null) RetryDecision.Retry(call.attempts + 1) else answer(outcome, call, reason)
    }

    private fun reasonToAnswer(
        outcome: Outcome,
        call: CallProgress,
        now: Moment,
    ): AnswerReason? =
        outcomeRefusal(outcome, call.idempotent) ?: when {
            call.budgetRefusals >= MAXIMUM_BUDGET_REFUSALS -> AnswerReason.BUDGET_SPENT
            call.requestIsRetry -> AnswerReason.RETRIED_ABOVE
            call.answerIsRetried -> AnswerReason.RETRIED_BELOW
            call.attempts >= call.maximumAttempts -> AnswerReason.ATTEMPTS_SPENT
            call.admissionChecks >= call.maximumAdmissionChecks -> AnswerReason.ATTEMPTS_SPENT
            call.untriedEndpoints == 0 -> AnswerReason.NO_OTHER_ENDPOINT
            call.deadline.hasPassed(now) -> AnswerReason.DEADLINE
            outcome is Outcome.Ran && call.deadline.left(now) < now - call.arrivedAt -> AnswerReason.DEADLINE
            else -> null
        }

    private fun outcomeRefusal(
        outcome: Outcome,
        idempotent: Boolean,
    ): AnswerReason? =
        when (outcome) {
            is Outcome.Ran -> AnswerReason.RAN.takeUnless { idempotent && outcome.httpStatus >= FIRST_SERVER_ERROR }
            is Outcome.NotRun -> AnswerReason.NOT_RETRYABLE.takeUnless { isRetryableElsewhere(outcome.kind) }
            is Outcome.Unknown ->
                when {
                    !idempotent -> AnswerReason.MAY_HAVE_RUN
                    isRetryableElsewhere(outcome.kind) -> null
                    else -> AnswerReason.NOT_RETRYABLE
                }
        }

    private fun isRetryableElsewhere(kind: ErrorKind): Boolean = kind.resend != Resend.NEVER && kind !in notRetriedByProxy

    private fun answer(
        outcome: Outcome,
        call: CallProgress,
        reason: AnswerReason,
    ): RetryDecision {
        val retriesAreOver = call.attempts > 1 || call.answerIsRetried || reason == AnswerReason.BUDGET_SPENT
        return RetryDecision.Answer(outcome, reason, markRetried = retriesAreOver)
    }

    /** Returns whether an attempt that ended with [outcome] may have reached a backend server. */
    public fun reachedServer(outcome: Outcome): Boolean = outcome !is Outcome.NotRun || outcome.kind !in refusedBeforeServer

    /** Returns whether the retry budget stays charged for a repeat that ended with [outcome]. A repeat that never started costs nothing. */
    public fun staysCharged(outcome: Outcome): Boolean =
        reachedServer(outcome) && outcome != Outcome.NotRun(ErrorKind.CANCELLED_BEFORE_START)

    /** Returns whether an attempt with [outcome] may have reached admission control. Only these count as [CallProgress.admissionChecks]. */
    public fun reachedAdmission(outcome: Outcome): Boolean = outcome !is Outcome.NotRun || outcome.kind !in refusedBeforeAdmission

    /** Returns whether an attempt with [outcome] was refused because the retry budget is exhausted. */
    public fun isBudgetRefusal(outcome: Outcome): Boolean = outcome is Outcome.NotRun && outcome.kind == ErrorKind.RETRY_BUDGET_SPENT

    private const val FIRST_SERVER_ERROR = 500

    /** The parts of two guards differ by chance; more refusals mean that the budget is exhausted. */
    private const val MAXIMUM_BUDGET_REFUSALS = 2

    /** The guard is unavailable or accepts no work at all. Asking another guard immediately is cheap, so these refusals are not limited. */
    private val refusedBeforeAdmission =
        setOf(
            ErrorKind.DRAINING,
            ErrorKind.NODE_STOPPING,
            ErrorKind.NO_CONFIGURATION,
            ErrorKind.CONNECTION_REFUSED,
            ErrorKind.SERVER_REPLACED,
        )

    private val refusedBeforeServer =
        refusedBeforeAdmission + setOf(ErrorKind.OVERLOADED, ErrorKind.DEADLINE_BEFORE_START, ErrorKind.RETRY_BUDGET_SPENT)

    /** Errors that a retry cannot resolve: the caller is gone, or only the caller or the ticket's owner can act on the error. */
    private val notRetriedByProxy =
        setOf(
            ErrorKind.CANCELLED_BEFORE_START,
            ErrorKind.CANCELLED_WHILE_RUNNING,
            ErrorKind.TICKET_IN_PROGRESS,
            ErrorKind.TICKET_OWNER_GONE,
            ErrorKind.TICKET_OWNER_UNREACHABLE,
            ErrorKind.TICKET_EXPIRED,
        )
}
