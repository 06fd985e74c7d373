package org.celeryusher.standin.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import org.celeryusher.kernel.error.RunStatus
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.standin.fleet.CallShape
import org.celeryusher.standin.fleet.FleetInstance
import org.celeryusher.standin.fleet.LocalFleet
import org.celeryusher.standin.server.WorkRunCounter
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Sends the regular load of a deployment through the nodes of a fleet, at a fixed rate for each kind of call.
 *
 * When no answer is received, idempotent work is retried once, through a randomly chosen node and marked as a retry. Work that is not
 * idempotent is sent once. Its reported run status is stored for [wronglyReportedAsNotRun].
 */
public class LoadGenerator(
    private val fleet: LocalFleet,
    private val caller: Caller,
    private val calls: List<CallShape> = fleet.shape.calls,
    private val random: Random = Random(1),
) {
    private val statisticsByRank = calls.associate { it.rank to RankStatistics(it.rank) }
    private val reportedRunStatuses = ConcurrentHashMap<String, RunStatus>()
    private val unansweredCalls = ConcurrentHashMap<InstanceName, AtomicInteger>()
    private val workNumbers = AtomicLong()
    private val inFlightPermits = Semaphore(MAXIMUM_IN_FLIGHT)
    private val inFlight = ConcurrentHashMap.newKeySet<Job>()
    private var senders = emptyList<Job>()

    /** The results of each rank so far, in the order of the deployment's calls. */
    public val results: List<RankResult> get() = statisticsByRank.values.map(RankStatistics::result)

    /** Number of pieces of non-idempotent work whose call has ended. */
    public val nonIdempotentWorkCount: Int get() = reportedRunStatuses.size

    /** Starts sending in [scope]. */
    public fun start(scope: CoroutineScope) {
        senders = calls.map { shape -> scope.launch { sendAtFixedRate(shape, scope) } }
    }

    /** Stops sending and waits for the calls in flight. */
    public suspend fun finish() {
        senders.forEach { it.cancelAndJoin() }
        inFlight.toList().joinAll()
    }

    /** Returns the work that was reported to a caller as not run although [runCounter] has counted a run. */
    public fun wronglyReportedAsNotRun(runCounter: WorkRunCounter): List<String> =
        reportedRunStatuses.filter { (work, status) -> status == RunStatus.NOT_RUN && runCounter.runsOf(work) > 0 }.keys.sorted()

    /** Returns how many calls received no answer over an established connection to the node of [instance]. */
    public fun unansweredCallsVia(instance: InstanceName): Int = unansweredCalls[instance]?.get() ?: 0

    private suspend fun sendAtFixedRate(
        shape: CallShape,
        scope: CoroutineScope,
    ) {
        val start = TimeSource.Monotonic.markNow()
        val interval = 1.seconds / shape.callsPerSecond
        var number = 0L
        while (scope.isActive) {
            number++
            delay(interval * number.toDouble() - start.elapsedNow())
            inFlightPermits.acquire()
            val job = scope.launch { callOnce(shape) }
            inFlight += job
            job.invokeOnCompletion {
                inFlight -= job
                inFlightPermits.release()
            }
        }
    }

    private suspend fun callOnce(shape: CallShape) {
        val work = "${shape.rank}-${workNumbers.incrementAndGet()}"
        val statistics = statisticsByRank.getValue(shape.rank)
        val first = send(shape, work, shape.deadline, isRetry = false) ?: return
        val outcome = if (first.isRetryable(shape)) retry(shape, work, statistics, first) else first
        statistics.record(outcome, shape.deadline)
        if (!shape.idempotent) reportedRunStatuses[work] = runStatusOf(outcome)
    }

    private suspend fun retry(
        shape: CallShape,
        work: String,
        statistics: RankStatistics,
        first: CallOutcome,
    ): CallOutcome {
        statistics.recordRetry()
        return send(shape, work, shape.deadline, isRetry = true) ?: first
    }

    private suspend fun send(
        shape: CallShape,
        work: String,
        deadline: Duration,
        isRetry: Boolean,
    ): CallOutcome? {
        val instance = fleet.inUse.randomOrNull(random) ?: return null
        val body = if (shape.idempotent) ByteArray(0) else """{"work":"$work","amount":${work.length}}""".encodeToByteArray()
        val headers = if (isRetry) listOf(RequestHeader("Celeryusher-Retry", "true")) else emptyList()
        val request = CallerRequest(shape.method, "${shape.path}/7?work=$work", deadline, body, headers)
        val outcome = caller.call(instance.node.settings.addresses.callers, request)
        if (outcome is CallOutcome.Lost) recordLoss(instance, outcome)
        return outcome
    }

    private fun recordLoss(
        instance: FleetInstance,
        outcome: CallOutcome.Lost,
    ) {
        if (outcome.reason != NOT_CONNECTED) unansweredCalls.computeIfAbsent(instance.name) { AtomicInteger() }.incrementAndGet()
    }

    private fun CallOutcome.isRetryable(shape: CallShape): Boolean = this is CallOutcome.Lost && shape.idempotent

    private fun runStatusOf(outcome: CallOutcome): RunStatus =
        when (outcome) {
            is CallOutcome.Answered -> RunStatus.RAN
            CallOutcome.Mismatched -> RunStatus.UNKNOWN
            is CallOutcome.Refused -> outcome.runStatus
            is CallOutcome.Lost -> RunStatus.UNKNOWN
        }

    private companion object {
        const val MAXIMUM_IN_FLIGHT = 4_000
        const val NOT_CONNECTED = "ConnectException"
    }
}
