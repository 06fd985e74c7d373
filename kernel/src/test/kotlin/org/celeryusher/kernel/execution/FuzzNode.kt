package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/** A unit of work of a caller. [ticket] is null for a plain call. */
internal class FuzzWork(
    val number: Int,
    val ticket: Ticket?,
) {
    val fingerprint = RequestFingerprint(0, number.toLong())
}

/** A call in progress at a proxy or ticket owner. */
internal class FuzzCall(
    val work: FuzzWork,
    val attempts: Int,
)

internal sealed interface FuzzMessage {
    /** The process start of a guard and a reading of its clock. */
    data class Hello(
        val guard: Int,
        val processStart: Long,
        val uptime: Uptime,
    ) : FuzzMessage

    class Attempt(
        val reference: AttemptReference,
        val work: FuzzWork,
        val proxy: Int,
        val idempotent: Boolean = false,
    ) : FuzzMessage

    class Cancel(
        val reference: AttemptReference,
        val proxy: Int,
    ) : FuzzMessage

    class Resolve(
        val reference: AttemptReference,
        val proxy: Int,
    ) : FuzzMessage

    data class Answer(
        val attempt: AttemptId,
        val outcome: Outcome,
    ) : FuzzMessage

    class TicketRequest(
        val work: FuzzWork,
    ) : FuzzMessage
}

/** One process of a node that is proxy, ticket owner and guard at once, and uses the classes under test for every decision. */
internal class FuzzNode(
    val number: Int,
    val processStart: Long,
    private val startedAt: Long,
    private val world: FuzzWorld,
) {
    private val guard =
        AttemptRegistry(processStart, AttemptLimits(maximumEntries = 3, maximumIdempotentEntries = 1, retention = 300.milliseconds))
    private val tickets = TicketRegistry(InstanceName("node-$number"), processStart, TicketLimits(4, 400.milliseconds, 600.milliseconds))
    private val pending = PendingAttempts<FuzzCall>()
    private val sent = ArrayList<FuzzMessage.Attempt>()
    private val targets = HashMap<AttemptId, Int>()
    private val clocks = HashMap<Int, Pair<Long, RemoteClock>>()
    private val queue = ArrayList<FuzzMessage.Attempt>()
    private val running = ArrayList<FuzzMessage.Attempt>()

    private fun uptime() = Uptime(world.now - startedAt)

    private fun moment() = Moment(0) + world.now.milliseconds

    fun hello() = FuzzMessage.Hello(number, processStart, uptime())

    fun issue(): Ticket? = tickets.issue(ROUTE, uptime(), world.random).getOrNull()

    fun receive(message: FuzzMessage) =
        when (message) {
            is FuzzMessage.Hello -> clocks[message.guard] = message.processStart to RemoteClock(message.uptime, moment())
            is FuzzMessage.Attempt -> arrive(message)
            is FuzzMessage.Cancel -> reply(message.proxy, message.reference, guard.cancel(message.reference, uptime()))
            is FuzzMessage.Resolve -> resolve(message)
            is FuzzMessage.Answer -> receiveAnswer(message)
            is FuzzMessage.TicketRequest -> useTicket(message.work)
        }

    /** Sends the next attempt of [call] to the guard [target], or completes the call if no hello from that guard has arrived. */
    fun sendAttempt(
        call: FuzzCall,
        target: Int,
    ) {
        val (targetProcess, clock) = clocks[target] ?: return completeCall(call, Outcome.NotRun(ErrorKind.CONNECTION_REFUSED))
        val expiresAt = clock.lowerBoundAt(moment()) + (world.random.nextInt(400) + 1).milliseconds
        val reference = AttemptReference(AttemptId.random(world.random), targetProcess, expiresAt)
        val message = FuzzMessage.Attempt(reference, call.work, number)
        pending.add(reference.id, call)
        sent += message
        targets[reference.id] = target
        world.send(target, message)
    }

    fun startNext(choice: Int) {
        if (queue.isEmpty()) return
        val attempt = queue.removeAt(choice % queue.size)
        when (val start = guard.start(attempt.reference, attempt.idempotent, uptime())) {
            AttemptStart.Run -> {
                world.oracle.ran(attempt.work.number, attempt.reference.id)
                running += attempt
            }
            is AttemptStart.Refused -> reply(attempt.proxy, attempt.reference, start.outcome)
        }
    }

    fun refuseNext(choice: Int) {
        if (queue.isEmpty()) return
        val attempt = queue.removeAt(choice % queue.size)
        reply(attempt.proxy, attempt.reference, guard.refuse(attempt.reference, ErrorKind.DRAINING, uptime()))
    }

    fun finishNext(choice: Int) {
        if (running.isEmpty()) return
        val attempt = running.removeAt(choice % running.size)
        guard.finish(attempt.reference.id, Outcome.Ran(OK))
        reply(attempt.proxy, attempt.reference, Outcome.Ran(OK))
    }

    fun crashServer() {
        val crashed = guard.recordServerCrash().toSet()
        running.filter { it.reference.id in crashed }.forEach {
            reply(it.proxy, it.reference, Outcome.Unknown(ErrorKind.SERVER_CRASHED))
        }
        running.clear()
    }

    fun cancelOrResolve(
        choice: Int,
        cancel: Boolean,
    ) {
        if (sent.isEmpty()) return
        val reference = sent[choice % sent.size].reference
        val message = if (cancel) FuzzMessage.Cancel(reference, number) else FuzzMessage.Resolve(reference, number)
        world.send(targets.getValue(reference.id), message)
    }

    fun abandonCall(choice: Int) {
        if (sent.isEmpty()) return
        pending.abandon(sent[choice % sent.size].reference.id)?.let { completeCall(it, Outcome.Unknown(ErrorKind.DEADLINE_WHILE_RUNNING)) }
    }

    private fun arrive(message: FuzzMessage.Attempt) =
        when (val arrival = guard.arrive(message.reference, message.idempotent, uptime())) {
            AttemptArrival.Accepted -> queue += message
            is AttemptArrival.Refused -> reply(message.proxy, message.reference, arrival.outcome)
            is AttemptArrival.Duplicate -> replyIfSettled(message.proxy, message.reference, arrival.state)
        }

    private fun resolve(message: FuzzMessage.Resolve) =
        replyIfSettled(message.proxy, message.reference, guard.resolve(message.reference, uptime()))

    private fun replyIfSettled(
        proxy: Int,
        reference: AttemptReference,
        state: AttemptState,
    ) {
        if (state is AttemptState.Settled) reply(proxy, reference, state.outcome)
    }

    private fun reply(
        proxy: Int,
        reference: AttemptReference,
        outcome: Outcome,
    ) {
        world.oracle.recordAttemptClaim(reference.id, outcome)
        world.send(proxy, FuzzMessage.Answer(reference.id, outcome))
    }

    private fun receiveAnswer(answer: FuzzMessage.Answer) {
        val call = pending.complete(answer.attempt) ?: return
        val progress =
            CallProgress(false, call.attempts, 3, DeadlineBudget(Moment.FAR_FUTURE), 1, requestIsRetry = false, answerIsRetried = false)
        when (RetryPolicy.decide(answer.outcome, progress, moment())) {
            is RetryDecision.Answer -> completeCall(call, answer.outcome)
            is RetryDecision.Retry -> sendAttempt(FuzzCall(call.work, call.attempts + 1), world.random.nextInt(FuzzWorld.NODES))
        }
    }

    private fun completeCall(
        call: FuzzCall,
        outcome: Outcome,
    ) {
        call.work.ticket?.let { tickets.finish(it.id, outcome, answer = null, uptime()) }
        world.oracle.recordWorkClaim(call.work.number, outcome)
    }

    private fun useTicket(work: FuzzWork) {
        val ticket = Ticket.decode(checkNotNull(work.ticket).encode()).getOrNull() ?: error("the encoded ticket cannot be decoded")
        when (val use = tickets.use(ticket, ROUTE, work.fingerprint, uptime())) {
            TicketUse.Run -> sendAttempt(FuzzCall(work, attempts = 1), world.random.nextInt(FuzzWorld.NODES))
            TicketUse.InProgress -> world.oracle.recordWorkClaim(work.number, Outcome.of(ErrorKind.TICKET_IN_PROGRESS))
            is TicketUse.Recorded -> world.oracle.recordWorkClaim(work.number, use.record.outcome)
            is TicketUse.Refused -> world.oracle.recordWorkClaim(work.number, Outcome.of(use.kind))
        }
    }

    private companion object {
        private const val OK = 200
        private val ROUTE = RouteName("collect")
    }
}
