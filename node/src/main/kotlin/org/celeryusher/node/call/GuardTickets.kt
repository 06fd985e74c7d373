package org.celeryusher.node.call

import arrow.core.Either
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.Outcome
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.Ticket
import org.celeryusher.kernel.execution.TicketId
import org.celeryusher.kernel.execution.TicketRecord
import org.celeryusher.kernel.execution.TicketRegistry
import org.celeryusher.kernel.execution.TicketUse
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.node.http.HeaderField
import kotlin.random.Random

/** What a guard does with an attempt because of its ticket. */
internal sealed interface TicketDecision {
    /** Run the work. [ticket] is null for a call without a ticket. */
    data class Run(
        val ticket: Ticket?,
    ) : TicketDecision

    /** Wait for the result of [first], which is queued or running with the same ticket. */
    data class AwaitFirst(
        val first: GuardTask,
    ) : TicketDecision

    /** Respond with [result] without running the work. */
    data class Respond(
        val result: CallResult,
    ) : TicketDecision
}

/** The tickets that this process of a node has issued. Not thread-safe: protected by the guard's lock. */
internal class GuardTickets(
    owner: InstanceName,
    processStart: Long,
    private val random: Random,
) {
    private val registry = TicketRegistry(owner, processStart)
    private val running = HashMap<TicketId, GuardTask>()

    /** Issues a ticket for [route]. */
    fun issue(
        route: RouteName,
        now: Uptime,
    ): Either<ErrorKind, Ticket> = registry.issue(route, now, random)

    /** Decides what to do with [call] because of its ticket. */
    fun decide(
        call: GuardCall,
        fingerprint: RequestFingerprint,
        now: Uptime,
    ): TicketDecision {
        val text = call.ticket ?: return TicketDecision.Run(null)
        return Ticket.decode(text).fold(
            { TicketDecision.Respond(CallResult.Failed(it)) },
            { ticket -> decide(ticket, call.route, fingerprint, now) },
        )
    }

    /** Registers [task] as the one that runs the work of its ticket, so that other calls with the ticket can wait for its result. */
    fun registerTask(task: GuardTask) {
        task.ticket?.let { running[it.id] = task }
    }

    /** Records the [outcome] of the work under the ticket of [task], and completes the calls that wait for it. */
    fun recordOutcome(
        task: GuardTask,
        result: CallResult,
        outcome: Outcome,
        now: Uptime,
    ) {
        val ticket = task.ticket ?: return
        running -= ticket.id
        val answer =
            (result as? CallResult.Answered)?.let {
                FrameCodec.encode(
                    Frame.Answer(0, it.status, it.headers, it.body, it.body.size),
                )
            }
        registry.finish(ticket.id, outcome, answer, now)
        task.completion.complete(result)
    }

    private fun decide(
        ticket: Ticket,
        route: RouteName,
        fingerprint: RequestFingerprint,
        now: Uptime,
    ): TicketDecision =
        when (val use = registry.use(ticket, route, fingerprint, now)) {
            is TicketUse.Run -> TicketDecision.Run(ticket)
            is TicketUse.InProgress -> awaitFirst(ticket)
            is TicketUse.Recorded -> TicketDecision.Respond(resultOf(use.record))
            is TicketUse.Refused -> TicketDecision.Respond(CallResult.Failed(use.kind))
        }

    private fun awaitFirst(ticket: Ticket): TicketDecision =
        running[ticket.id]?.let { TicketDecision.AwaitFirst(it) } ?: TicketDecision.Respond(CallResult.Failed(ErrorKind.TICKET_IN_PROGRESS))

    private fun resultOf(record: TicketRecord): CallResult =
        when (val outcome = record.outcome) {
            is Outcome.Ran -> recordedAnswer(record, outcome)
            is Outcome.NotRun -> CallResult.Failed(outcome.kind, "recorded under the ticket")
            is Outcome.Unknown -> CallResult.Failed(outcome.kind, "recorded under the ticket")
        }

    private fun recordedAnswer(
        record: TicketRecord,
        outcome: Outcome.Ran,
    ): CallResult {
        val frame = record.answer?.let { FrameCodec.decode(it) as? Frame.Answer }
        return if (frame == null) {
            CallResult.Answered(outcome.httpStatus, listOf(HeaderField(CeleryusherHeaders.ANSWER_NOT_KEPT, "true")), ByteArray(0))
        } else {
            CallResult.Answered(frame.status, frame.headers, frame.body)
        }
    }
}
