package org.celeryusher.node.call

import org.celeryusher.kernel.execution.AnswerPolicy
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.execution.CallProgress
import org.celeryusher.kernel.execution.RetryPolicy
import org.celeryusher.kernel.identity.InstanceName
import kotlin.time.Duration

/** The attempts of one [call] at its proxy. Not thread-safe. */
internal class CallAttempts(
    private val call: ProxiedCall,
) {
    private var attempts = 0
    private var admissionChecks = 0
    private var budgetRefusals = 0
    private var answer: CallResult? = null

    /** The instances that were tried. */
    val tried: MutableSet<InstanceName> = mutableSetOf()

    /** The shortest time after which a guard expects to have room, or null if none stated it. */
    var expectedWait: Duration? = null
        private set

    /** Returns what the attempt at the instance that was last added to [tried] means for the retry budget. */
    fun kindOfNext(first: AttemptKind): AttemptKind =
        when {
            attempts > 0 -> AttemptKind.REPEAT
            tried.size > 1 -> AttemptKind.FIRST
            else -> first
        }

    /**
     * Records the [reply] to an attempt, which is the one that counts of [hedged] if that is not null.
     *
     * Returns the result that the caller gets if no other attempt follows.
     */
    fun record(
        reply: GuardReply,
        hedged: HedgedReply?,
    ): CallResult {
        val outcome = outcomeOf(reply.result)
        attempts += hedged?.furtherAttempts ?: 0
        if (RetryPolicy.reachedServer(outcome)) attempts++
        if (RetryPolicy.reachedAdmission(outcome)) admissionChecks++
        if (RetryPolicy.isBudgetRefusal(outcome)) budgetRefusals++
        expectedWait = listOfNotNull(expectedWait, (reply.result as? CallResult.Failed)?.retryAfter).minOrNull()
        hedged?.other?.let { answer = answerAfter(it.reply.result) }
        return answerAfter(reply.result).also { answer = it }
    }

    /** Returns what the caller gets when [latest] is the last that is known of the call. */
    fun answerAfter(latest: CallResult): CallResult =
        answer?.takeUnless { AnswerPolicy.replaces(outcomeOf(latest), outcomeOf(it)) } ?: latest

    /** Returns the inputs of the retry decision after an attempt that ended with [reply]. */
    fun progress(reply: GuardReply): CallProgress =
        call.progress(tried, attempts, admissionChecks, budgetRefusals, reply, MAXIMUM_ADMISSION_CHECKS)

    private companion object {
        /** The maximum number of guards that decide on one call. A refusal costs a round trip, but no work on a backend server. */
        const val MAXIMUM_ADMISSION_CHECKS = 4
    }
}
