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

/** What a guard does with the ticket of an attempt. */
internal sealed interface TicketStep {
    /** Run the work; [ticket] is null for a call without one. */
    data class Run(
        val ticket: Ticket?,
    ) : TicketStep

    /** Another request with the ticket runs: wait for [first]. */
    data class Wait(
        val first: GuardTask,
    ) : TicketStep

    /** Answer [result]; nothing runs. */
    data class Answer(
        val result: CallResult,
    ) : TicketStep
}

/** The tickets that this life of a node owns. Not safe for use by several threads: the guard's lock covers it. */
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

    /** Decides about the ticket of [call]. */
    fun use(
        call: GuardCall,
        fingerprint: RequestFingerprint,
        now: Uptime,
    ): TicketStep {
        val text = call.ticket ?: return TicketStep.Run(null)
        return Ticket.decode(text).fold(
            { TicketStep.Answer(CallResult.Failed(it)) },
            { ticket -> use(ticket, call.route, fingerprint, now) },
        )
    }

    /** Notes that [task] runs under its ticket, so that others with the same ticket can wait for it. */
    fun began(task: GuardTask) {
        task.ticket?.let { running[it.id] = task }
    }

    /** Records how the work of the ticket of [task] ended. */
    fun ended(
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
        task.ended.complete(result)
    }

    private fun use(
        ticket: Ticket,
        route: RouteName,
        fingerprint: RequestFingerprint,
        now: Uptime,
    ): TicketStep =
        when (val use = registry.use(ticket, route, fingerprint, now)) {
            is TicketUse.Run -> TicketStep.Run(ticket)
            is TicketUse.InProgress -> waitFor(ticket)
            is TicketUse.Recorded -> TicketStep.Answer(resultOf(use.record))
            is TicketUse.Refused -> TicketStep.Answer(CallResult.Failed(use.kind))
        }

    private fun waitFor(ticket: Ticket): TicketStep =
        running[ticket.id]?.let { TicketStep.Wait(it) } ?: TicketStep.Answer(CallResult.Failed(ErrorKind.TICKET_IN_PROGRESS))

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
