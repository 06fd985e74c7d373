package org.celeryusher.kernel.execution

import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Counts the actual runs of each unit of work and each attempt, and checks every claim about them against the counts. */
internal class FuzzOracle {
    private val runsOfWork = HashMap<Int, Int>()
    private val runsOfAttempt = HashMap<AttemptId, Int>()
    private val workClaims = HashSet<Pair<Int, Outcome>>()
    private val attemptClaims = HashSet<Pair<AttemptId, Outcome>>()

    /** The distinct outcomes answered to callers, one entry per unit of work and outcome. */
    val claims: List<Outcome> get() = workClaims.map { it.second }

    fun ran(
        work: Int,
        attempt: AttemptId,
    ) {
        runsOfWork.merge(work, 1, Int::plus)
        runsOfAttempt.merge(attempt, 1, Int::plus)
    }

    fun recordWorkClaim(
        work: Int,
        outcome: Outcome,
    ) {
        workClaims += work to outcome
    }

    fun recordAttemptClaim(
        attempt: AttemptId,
        outcome: Outcome,
    ) {
        attemptClaims += attempt to outcome
    }

    fun check() {
        runsOfWork.forEach { (work, runs) -> assertTrue(runs <= 1, "work $work ran $runs times") }
        workClaims.forEach { (work, outcome) -> checkClaim("work $work", outcome, runsOfWork[work] ?: 0) }
        attemptClaims.forEach { (attempt, outcome) -> checkClaim("attempt $attempt", outcome, runsOfAttempt[attempt] ?: 0) }
    }

    private fun checkClaim(
        what: String,
        outcome: Outcome,
        runs: Int,
    ) = when (outcome) {
        is Outcome.Ran -> assertEquals(1, runs, "$what was answered $outcome")
        is Outcome.NotRun -> assertEquals(0, runs, "$what was answered $outcome")
        is Outcome.Unknown -> Unit
    }
}
