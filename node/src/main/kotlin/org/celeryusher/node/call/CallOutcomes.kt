package org.celeryusher.node.call

import org.celeryusher.kernel.admission.ServiceOutcome
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptArrival
import org.celeryusher.kernel.execution.Outcome
import kotlin.time.Duration

/** Returns what [result] proves about whether the work ran. */
internal fun outcomeOf(result: CallResult): Outcome =
    when (result) {
        is CallResult.Answered -> Outcome.Ran(result.status)
        is CallResult.Failed -> Outcome.of(result.kind)
    }

/** Returns the failure to report for [outcome]. */
internal fun failureOf(
    outcome: Outcome,
    detail: String = "",
    retryAfter: Duration? = null,
): CallResult =
    when (outcome) {
        is Outcome.Ran -> CallResult.Failed(ErrorKind.CONNECTION_LOST, "the answer of another copy is gone")
        is Outcome.NotRun -> CallResult.Failed(outcome.kind, detail, retryAfter)
        is Outcome.Unknown -> CallResult.Failed(outcome.kind, detail, retryAfter)
    }

/** Returns the result of an attempt that is refused on [arrival], or null when it is accepted. */
internal fun refusalAtArrival(arrival: AttemptArrival): CallResult? =
    when (arrival) {
        is AttemptArrival.Accepted -> null
        is AttemptArrival.Refused -> failureOf(arrival.outcome)
        is AttemptArrival.Duplicate -> CallResult.Failed(ErrorKind.CONNECTION_LOST, "another copy of the attempt came first")
    }

/** Returns what [result] says about the load of the backend server. */
internal fun serviceOutcomeOf(result: CallResult): ServiceOutcome =
    when (result) {
        is CallResult.Answered -> ServiceOutcome.OK
        is CallResult.Failed -> if (result.kind == ErrorKind.SERVER_SHED) ServiceOutcome.SHED else ServiceOutcome.FAILED
    }
