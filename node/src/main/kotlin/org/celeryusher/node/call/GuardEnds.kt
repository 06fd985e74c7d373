package org.celeryusher.node.call

import org.celeryusher.kernel.admission.GuardedServer
import org.celeryusher.kernel.admission.ServerNotice
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AttemptRegistry
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import kotlin.time.Duration

/** Records how the attempts of a guard ended, wherever that is counted. Not thread-safe: protected by the guard's lock. */
internal class GuardEnds(
    private val processStart: Long,
    private val server: GuardedServer,
    private val attempts: AttemptRegistry,
    private val tickets: GuardTickets,
    private val queue: GuardQueue,
    private val crashes: CrashRegistry,
    private val retries: RetryAccount,
    private val runs: RunAccount,
    private val decisions: DecisionLog,
    private val uptime: (Moment) -> Uptime,
) {
    /** How long requests that crash servers are refused. */
    var quarantine: Duration = Guard.DEFAULT_QUARANTINE

    /** Records that the caller of [task] left before anything was sent to the backend server. */
    fun cancelBeforeSend(
        task: GuardTask,
        now: Moment,
    ) {
        if (task.startedAt == null) {
            attempts.cancel(task.call.reference, uptime(now))
            queue.cancel(task, now)
        } else {
            // The attempt was admitted, but nothing was sent to the backend server.
            recordEnd(task, CallResult.Failed(ErrorKind.CANCELLED_BEFORE_START), Duration.ZERO, now)
        }
    }

    /** Records the [reply] of the backend server to [task], or that there is none. */
    fun complete(
        task: GuardTask,
        reply: ServerReply,
        now: Moment,
    ) {
        reply.notice?.let { applyNotice(task, it, now) }
        if (reply.isRefused) queue.cold.stateLost(now)
        complete(task, reply.result, now)
    }

    private fun applyNotice(
        task: GuardTask,
        notice: ServerNotice,
        now: Moment,
    ) {
        val before = server.notice
        if (!server.state(task.call.server, notice)) return
        if (server.notice != before) logNotice(task, before)
        notice.coldRemaining?.let { queue.cold.serverStated(it, task.startedAt ?: now, now) }
        queue.serverNoticed(notice, now)
    }

    private fun logNotice(
        task: GuardTask,
        before: ServerNotice,
    ): Unit =
        decisions.record(
            "server",
            if (server.notice.isLeaving) "leaves" else "takes ${server.notice.requestsPerSecond ?: "any number of"} calls a second",
            "stated in its answer",
            "server" to server.current,
            "attempt" to task.call.reference.id,
            "before" to before,
        )

    private fun complete(
        task: GuardTask,
        result: CallResult,
        now: Moment,
    ) {
        if (result is CallResult.Failed && result.kind == ErrorKind.SERVER_CRASHED) countCrash(task, now)
        if (result.showsCompletion) crashes.recordCompletion(task.fingerprint, now)
        recordEnd(task, result, now - (task.startedAt ?: now), now)
    }

    /** Records that [task] ended with [result] after [serviceTime] at the backend server. */
    fun recordEnd(
        task: GuardTask,
        result: CallResult,
        serviceTime: Duration,
        now: Moment,
    ) {
        val id = task.call.reference.id
        val outcome = outcomeOf(result)
        decisions.record(
            "guard",
            "ended",
            outcome.runStatus.headerValue,
            "attempt" to id,
            "route" to task.call.route,
            "took" to serviceTime,
            "total" to now - task.call.request.arrived,
            "result" to if (result is CallResult.Failed) result else (result as CallResult.Answered).status,
        )
        attempts.finish(id, outcome)
        if (task.startedAt != null) retries.ended(id, result, now)
        runs.recordRun(task.call.route, result, now)
        tickets.recordOutcome(task, result, outcome, uptime(now))
        queue.finished(task, result, serviceTime, now)
    }

    private fun countCrash(
        task: GuardTask,
        now: Moment,
    ) {
        if (task.isCrashCounted) return
        val running = queue.running
        running.forEach { it.isCrashCounted = true }
        val id = server.nextCrash(task.call.server, processStart)
        crashes.recordCrash(id, running.mapTo(HashSet()) { it.fingerprint } + task.fingerprint, isComplete = true, quarantine, now)
    }
}
