package org.celeryusher.node.call

import org.celeryusher.kernel.admission.GuardedServer
import org.celeryusher.kernel.admission.LinkRoom
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptRegistry
import org.celeryusher.kernel.execution.CrashVerdict
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.Ticket
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.net.GuardLink
import kotlin.time.Duration

/** Decides about calls that arrive at a guard. Not thread-safe: protected by the guard's lock. */
internal class GuardArrivals(
    private val server: GuardedServer,
    private val attempts: AttemptRegistry,
    private val tickets: GuardTickets,
    private val queue: GuardQueue,
    private val link: LinkRoom,
    private val outgoing: GuardLink,
    private val crashes: CrashRegistry,
    private val decisions: DecisionLog,
    private val uptime: (Moment) -> Uptime,
) {
    /** Queues [call], or decides how to respond to it. It is refused if it is a repeat that is not [isAffordable]. */
    fun admit(
        call: GuardCall,
        fingerprint: RequestFingerprint,
        isAffordable: Boolean,
        now: Moment,
    ): ArrivalDecision {
        if (!queue.hasPolicy) return ArrivalDecision.Respond(CallResult.Failed(ErrorKind.NO_CONFIGURATION))
        val verdict = crashes.verdict(fingerprint, now, call.suspected)
        logVerdict(call, fingerprint, verdict)
        if (verdict is CrashVerdict.Quarantined) {
            return ArrivalDecision.Respond(CallResult.Failed(ErrorKind.QUARANTINED, retryAfter = verdict.remaining))
        }
        if (!server.isMeant(call.server)) {
            return ArrivalDecision.Respond(
                CallResult.Failed(ErrorKind.SERVER_REPLACED, "${call.server} is not here, but ${server.current ?: "none"}"),
            )
        }
        val refused = refusalAtArrival(attempts.arrive(call.reference, call.idempotent, uptime(now)))
        if (refused != null) return ArrivalDecision.Respond(refused)
        if (!isAffordable) return respondWithoutRunning(call, CallResult.Failed(ErrorKind.RETRY_BUDGET_SPENT), now)
        val deadline = now + (call.reference.expiresAt - uptime(now))
        val timeToRoom = link.timeToRoom(call.route, outgoing.backlog, call.targetDeadline, deadline, now)
        if (timeToRoom != null) return refuseForLink(call, timeToRoom, now)
        return when (val decision = tickets.decide(call, fingerprint, uptime(now))) {
            is TicketDecision.Respond -> respondWithoutRunning(call, decision.result, now)
            is TicketDecision.AwaitFirst -> {
                attempts.refuse(call.reference, ErrorKind.CANCELLED_BEFORE_START, uptime(now))
                ArrivalDecision.AwaitFirst(decision.first)
            }
            is TicketDecision.Run -> ArrivalDecision.Run(enqueue(call, fingerprint, decision.ticket, verdict, now))
        }
    }

    private fun logVerdict(
        call: GuardCall,
        fingerprint: RequestFingerprint,
        verdict: CrashVerdict,
    ) {
        val decided =
            when (verdict) {
                is CrashVerdict.RunNormally -> return
                is CrashVerdict.RunExclusively -> "runs alone"
                is CrashVerdict.Quarantined -> "refused"
            }
        decisions.record("crash", decided, "running in a crash before", "attempt" to call.reference.id, "request" to fingerprint)
    }

    private fun refuseForLink(
        call: GuardCall,
        timeToRoom: Duration,
        now: Moment,
    ): ArrivalDecision {
        outgoing.recordRefusal()
        val waiting = outgoing.backlog?.waitingBytes
        decisions.record(
            "link",
            "refused",
            "its answer would be late",
            "attempt" to call.reference.id,
            "route" to call.route,
            "for" to timeToRoom,
            "waitingBytes" to waiting,
        )
        val refusal = CallResult.Failed(ErrorKind.OVERLOADED, "the link cannot carry the answer in time", retryAfter = timeToRoom)
        return respondWithoutRunning(call, refusal, now)
    }

    private fun respondWithoutRunning(
        call: GuardCall,
        result: CallResult,
        now: Moment,
    ): ArrivalDecision {
        attempts.refuse(call.reference, ErrorKind.CANCELLED_BEFORE_START, uptime(now))
        return ArrivalDecision.Respond(result)
    }

    private fun enqueue(
        call: GuardCall,
        fingerprint: RequestFingerprint,
        ticket: Ticket?,
        verdict: CrashVerdict,
        now: Moment,
    ): GuardTask {
        val task = GuardTask(call, fingerprint, now + (call.reference.expiresAt - uptime(now)), ticket)
        tickets.registerTask(task)
        link.recordAdmitted(call.route)
        queue.submit(task, isExclusive = verdict is CrashVerdict.RunExclusively, now)
        return task
    }
}
