package org.celeryusher.node.call

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.AnswerPolicy
import org.celeryusher.kernel.execution.HedgeCall
import org.celeryusher.kernel.execution.HedgeRace
import org.celeryusher.kernel.execution.HedgeStep
import org.celeryusher.kernel.execution.RetryPolicy
import org.celeryusher.kernel.membership.Member
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.HedgeMeters
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration

/** An attempt at [endpoint] that may still run. */
internal class RunningAttempt(
    val endpoint: Member,
    val result: Deferred<EndedAttempt>,
)

/** The call whose two copies run, and where their results are recorded. */
internal class RaceContext(
    val call: ProxiedCall,
    val hedge: HedgeCall,
    /** The usual latency of the route. */
    val usual: Duration,
    val clock: ProcessClock,
    val meters: HedgeMeters,
    val decisions: DecisionLog,
    /** Records the time for which the first attempt has run until now. */
    val recordLatency: () -> Unit,
)

/** Awaits the results of the [first] attempt and of its [copy], as [HedgeRace] decides. */
internal class HedgedAttempts(
    private val first: RunningAttempt,
    private val copy: RunningAttempt,
    private val context: RaceContext,
) {
    /** Returns the result that counts. An attempt whose result is no longer needed is cancelled. */
    suspend fun awaitResult(): HedgedReply {
        val side =
            select {
                first.result.onAwait { HedgeRace.Side.FIRST }
                copy.result.onAwait { HedgeRace.Side.COPY }
            }
        val (earlier, later) = if (side == HedgeRace.Side.FIRST) first to copy else copy to first
        val ended = earlier.result.await()
        val retryAt = context.clock.now() + context.usual
        return when (HedgeRace.stepAfter(side, ended.outcome, ended.reply.showsCrash, context.hedge, retryAt)) {
            HedgeStep.ANSWER -> cancelOther(ended, later, side, "answered first; the other one is cancelled")
            HedgeStep.CANCEL_OTHER -> cancelOther(ended, later, side, "shows a crash; the other one is cancelled")
            HedgeStep.AWAIT_OTHER -> resultOf(first.result.await(), copy.result.await())
            HedgeStep.AWAIT_OTHER_BRIEFLY -> {
                withTimeoutOrNull(context.usual) { later.result.await() }
                if (later.result.isCompleted) return resultOf(first.result.await(), copy.result.await())
                cancelOther(ended, later, side, "${ended.outcome}; the other one is cancelled after the usual latency")
            }
        }
    }

    private fun cancelOther(
        ended: EndedAttempt,
        other: RunningAttempt,
        side: HedgeRace.Side,
        reason: String,
    ): HedgedReply {
        other.result.cancel()
        if (side == HedgeRace.Side.COPY) context.recordLatency()
        logEnd(side, reason)
        if (!AnswerPolicy.promisesNotRun(ended.outcome)) return HedgedReply(ended, furtherAttempts = 1)
        // The cancelled attempt may have run, which a refusal as not run must not hide.
        val cancelled =
            GuardReply(CallResult.Failed(ErrorKind.DEADLINE_WHILE_RUNNING, "cancelled after the other copy failed"), load = null)
        return replyOf(EndedAttempt(other.endpoint, cancelled), ended)
    }

    private fun resultOf(
        first: EndedAttempt,
        copy: EndedAttempt,
    ): HedgedReply {
        val side = HedgeRace.decide(first.outcome, copy.outcome)
        (copy.reply.result as? CallResult.Failed)?.let { context.meters.recordRefusal(it.kind) }
        logEnd(side, "first ${first.outcome}, copy ${copy.outcome}")
        return if (side == HedgeRace.Side.FIRST) replyOf(first, copy) else replyOf(copy, first)
    }

    private fun replyOf(
        counted: EndedAttempt,
        other: EndedAttempt,
    ): HedgedReply = HedgedReply(counted, other, furtherAttempts = if (RetryPolicy.reachedServer(other.outcome)) 1 else 0)

    private fun logEnd(
        side: HedgeRace.Side,
        reason: String,
    ) {
        val isWon = side == HedgeRace.Side.COPY
        if (isWon) context.meters.recordWon()
        val route = context.call.route.declaration.name
        context.decisions.record("hedge", if (isWon) "copy counts" else "first counts", reason, "route" to route)
    }
}
