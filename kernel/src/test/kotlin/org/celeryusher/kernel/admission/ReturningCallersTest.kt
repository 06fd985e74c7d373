package org.celeryusher.kernel.admission

import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.time.Moment
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against retries that make the calls of other callers late.
 *
 * If the target latency of a retry counts from the retry, the controller treats it like a new call, and it takes a slot from a call that
 * can still meet its target. The test compares this with a target latency that counts from the first try.
 *
 * Replays ten seconds of 1.5 times the load that the six slots of a server can serve. Each refused caller retries once. The
 * target latency is 250 ms, the deadline 800 ms after the first try.
 */
class ReturningCallersTest {
    private class Caller(
        val firstTry: Moment,
        val work: Duration,
    ) {
        var tries = 0
        var answered: Moment? = null

        val latency: Duration? get() = answered?.let { it - firstTry }
    }

    private class Overload(
        private val isFirstTryKnown: Boolean,
        seed: Int,
    ) {
        private val random = Random(seed)
        private val policy =
            AdmissionPolicy(
                ranks = listOf(RankPolicy(RankName("lookups"), 0.0)),
                slots = SLOTS,
                connections = 130,
                queueCapacity = 48,
                drainLimit = 3.seconds,
                slowStart = Duration.ZERO,
                slotsAreExact = true,
            )
        private val controller = AdmissionController<Int>(policy, Moment(0))
        private val events = PriorityQueue<Pair<Moment, (Moment) -> Unit>>(compareBy { it.first })
        private val attempts = ArrayList<Caller>()
        val callers = ArrayList<Caller>()

        val onTime: Int get() = callers.count { caller -> caller.latency?.let { it <= TARGET } ?: false }
        val answered: Int get() = callers.count { it.answered != null }

        fun run(): Overload {
            arriveFrom(Moment(0))
            tickFrom(Moment(0))
            while (events.isNotEmpty()) events.poll().let { (moment, event) -> event(moment) }
            return this
        }

        private fun arriveFrom(last: Moment) {
            val next = last + exponential(WORK / (SLOTS * OVERLOAD))
            if (next > Moment(0) + LENGTH) return
            events += next to { now ->
                val caller = Caller(now, WORK / 2 + exponential(WORK / 2))
                callers += caller
                offer(caller, now)
                arriveFrom(now)
            }
        }

        private fun tickFrom(last: Moment) {
            if (last > Moment(0) + LENGTH + 1.seconds) return
            events += (last + 5.milliseconds) to { now ->
                carryOut(controller.tick(now), now)
                tickFrom(now)
            }
        }

        private fun offer(
            caller: Caller,
            now: Moment,
        ) {
            caller.tries++
            attempts += caller
            val targetEnd = (if (isFirstTryKnown) caller.firstTry else now) + TARGET
            val request = AdmissionRequest(attempts.size - 1, 0, caller.firstTry + DEADLINE, target = targetEnd)
            carryOut(controller.arrive(request, now), now)
        }

        private fun carryOut(
            decisions: List<AdmissionDecision<Int>>,
            now: Moment,
        ) {
            for (decision in decisions) {
                val caller = attempts[decision.key]
                when (decision) {
                    is AdmissionDecision.Enqueued -> {}
                    is AdmissionDecision.Start -> events += (now + caller.work) to { end -> finished(decision.key, caller, end) }
                    is AdmissionDecision.Refuse -> retryOnce(caller, decision.retryAfter, now)
                }
            }
        }

        private fun finished(
            key: Int,
            caller: Caller,
            now: Moment,
        ) {
            caller.answered = now
            carryOut(controller.finished(key, caller.work, ServiceOutcome.OK, now), now)
        }

        private fun retryOnce(
            caller: Caller,
            after: Duration,
            now: Moment,
        ) {
            val left = caller.firstTry + DEADLINE - now
            if (caller.tries == 1) events += (now + minOf(after, left / 3)) to { offer(caller, it) }
        }

        private fun exponential(mean: Duration): Duration = (-ln(1.0 - random.nextDouble()) * mean.inWholeNanoseconds).nanoseconds
    }

    @Test
    fun lateRetriesDoNotMakeOtherCallersLate() {
        for (seed in 1..5) {
            val known = Overload(isFirstTryKnown = true, seed).run()
            val unknown = Overload(isFirstTryKnown = false, seed).run()
            val figures = "seed $seed: on time ${known.onTime}/${known.answered}, without first try ${unknown.onTime}/${unknown.answered}"
            assertTrue(known.onTime >= unknown.onTime * 1.1, figures)
            assertTrue(known.answered >= unknown.answered * 0.97, figures)
            assertTrue(known.onTime >= known.answered * 0.9, figures)
        }
    }

    private companion object {
        const val SLOTS = 6
        const val OVERLOAD = 1.5
        val WORK = 90.milliseconds
        val TARGET = 250.milliseconds
        val DEADLINE = 800.milliseconds
        val LENGTH = 10.seconds
    }
}
