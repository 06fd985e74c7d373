package org.celeryusher.node.call

import org.celeryusher.kernel.admission.AdmissionDecision
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.AttemptRegistry
import org.celeryusher.kernel.execution.AttemptStart
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.Outcome
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import kotlin.time.Duration

/** Starts or refuses the attempts of a guard, as its admission controller decides. Not thread-safe: protected by the guard's lock. */
internal class GuardStarts(
    private val attempts: AttemptRegistry,
    private val tickets: GuardTickets,
    private val ends: GuardEnds,
    private val crashes: CrashRegistry,
    private val retries: RetryAccount,
    private val runs: RunAccount,
    private val decisions: DecisionLog,
    private val uptime: (Moment) -> Uptime,
) {
    /** Begins [task], unless something that is known by now forbids it. */
    fun begin(
        task: GuardTask,
        now: Moment,
    ) {
        task.startedAt = now
        val refused = refusalAtStart(task, now)
        if (refused == null) {
            retries.started(task.call.reference.id, task.call.route, task.deadline, now)
            task.admission.complete(null)
        } else {
            ends.recordEnd(task, refused, Duration.ZERO, now)
            task.admission.complete(refused)
        }
    }

    // What other nodes have reported since the attempt was queued binds it as well.
    private fun refusalAtStart(
        task: GuardTask,
        now: Moment,
    ): CallResult? {
        val call = task.call
        if (crashes.verdict(task.fingerprint, now) is CrashVerdict.Quarantined) {
            return failureOf(attempts.refuse(call.reference, ErrorKind.QUARANTINED, uptime(now)))
        }
        return refusalForCalls(call, now) ?: when (val start = attempts.start(call.reference, call.idempotent, uptime(now))) {
            is AttemptStart.Run -> null
            is AttemptStart.Refused -> failureOf(start.outcome)
        }
    }

    private fun refusalForCalls(
        call: GuardCall,
        now: Moment,
    ): CallResult? {
        val refusal = runs.refusalOf(call.route, now) ?: return null
        decisions.record(
            "admission",
            "not begun",
            "calls of runs are refused",
            "attempt" to call.reference.id,
            "called" to refusal.called,
        )
        val outcome = attempts.refuse(call.reference, ErrorKind.OVERLOADED, uptime(now))
        val result = failureOf(outcome, "${refusal.called} is overloaded", refusal.retryAfter)
        return if (result is CallResult.Failed && outcome is Outcome.NotRun) result.copy(refusedForCalls = true) else result
    }

    /** Ends [task], which the admission controller refuses by [decision]. */
    fun refuse(
        task: GuardTask,
        decision: AdmissionDecision.Refuse<AttemptId>,
        now: Moment,
    ) {
        val outcome = attempts.refuse(task.call.reference, decision.error, uptime(now))
        val result = failureOf(outcome, decision.cause.name, decision.retryAfter)
        tickets.recordOutcome(task, result, outcome, uptime(now))
        task.admission.complete(result)
    }
}
