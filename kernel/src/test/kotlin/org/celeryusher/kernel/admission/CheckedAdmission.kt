package org.celeryusher.kernel.admission

import org.celeryusher.kernel.configuration.FleetSettings
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

/** A controller beside a simple oracle, which checks each decision against the events so far. */
class CheckedAdmission {
    private var policy = policyOf(0.3, 0.3, 0.2)
    private var now = at(0)
    private val controller = AdmissionController<Int>(policy, now)
    private val waiting = LinkedHashMap<Int, AdmissionRequest<Int>>()
    private val running = LinkedHashMap<Int, AdmissionRequest<Int>>()
    private val startedAt = HashMap<Int, Duration>()
    private val final = HashSet<Int>()
    private var arrivals = 0
    private var draining = false

    fun pass(time: Duration) {
        now += time
        check(controller.tick(now))
    }

    fun arrive(
        rank: Int,
        timeLeft: Duration,
        runAlone: Boolean,
    ) {
        val request = AdmissionRequest(arrivals++, rank, now + timeLeft, runAlone)
        waiting[request.key] = request
        val decisions = controller.arrive(request, now)
        assertTrue(decisions.any { it.key == request.key }, "no decision on arrival of $request")
        check(decisions)
    }

    fun finish(
        index: Int,
        outcome: ServiceOutcome,
    ) {
        val key = running.keys.elementAtOrNull(index) ?: return
        running.remove(key)
        check(controller.finished(key, now - at(0) - startedAt.getValue(key), outcome, now))
    }

    fun cancel(key: Int) {
        val wasWaiting = key in waiting
        val decisions = controller.cancel(key, now)
        val cancelled = decisions.filterIsInstance<AdmissionDecision.Refuse<Int>>().any { it.key == key }
        assertEquals(wasWaiting, cancelled, "cancel of $key gave $decisions")
        check(decisions)
    }

    fun drain() {
        draining = true
        check(controller.drain(now))
        assertTrue(waiting.isEmpty(), "still waiting in a drain: $waiting")
    }

    fun restartServer() {
        draining = false
        check(controller.serverStarted(now))
    }

    fun changePolicy(
        slots: Int,
        places: Int,
        shares: List<Double>,
    ) {
        policy = policyOf(*shares.toDoubleArray(), slots = slots, settings = FleetSettings(queuedCallsPerSlot = places))
        check(controller.changePolicy(policy, now))
    }

    /** Ends everything and checks that each call got its one final decision. */
    fun checkEnd() {
        drain()
        while (running.isNotEmpty()) finish(0, ServiceOutcome.OK)
        assertTrue(controller.isDrained)
        assertEquals((0 until arrivals).toSet(), final)
    }

    private fun check(decisions: List<AdmissionDecision<Int>>) {
        decisions.forEach(::check)
        val load = controller.load(now)
        val (alone, others) = waiting.values.partition { it.runAlone }
        assertEquals(running.size to waiting.size, load.running to load.queued)
        assertTrue(load.limit in 1..minOf(policy.slots, policy.connections), "limit of $load")
        assertTrue(others.size <= policy.queuePlaces, "${others.size} wait for ${policy.queuePlaces} places")
        assertTrue(waiting.values.none { it.deadline <= now }, "waits beyond its deadline")
        assertTrue(waiting.isEmpty() || running.isNotEmpty(), "the server is idle while $waiting wait")
        val takesTurns = alone.isNotEmpty() || running.values.any { it.runAlone }
        assertTrue(takesTurns || others.isEmpty() || running.size >= load.limit, "a slot is idle in $load")
    }

    private fun check(decision: AdmissionDecision<Int>) {
        val request = waiting[decision.key]
        assertTrue(request != null && decision.key !in final, "$decision for a call that does not wait")
        when (decision) {
            is AdmissionDecision.Enqueued -> return
            is AdmissionDecision.Refuse -> Unit
            is AdmissionDecision.Start -> checkStart(request, decision)
        }
        waiting.remove(decision.key)
        final += decision.key
    }

    private fun checkStart(
        request: AdmissionRequest<Int>,
        decision: AdmissionDecision.Start<Int>,
    ) {
        assertTrue(request.deadline > now, "$decision after its deadline")
        assertTrue(!draining && running.size < decision.inputs.limit, "$decision without a free slot")
        assertTrue(running.isEmpty() || !request.runAlone, "$decision beside $running")
        assertTrue(running.values.none { it.runAlone }, "$decision beside a call that runs alone")
        running[request.key] = request
        startedAt[request.key] = now - at(0)
    }
}
