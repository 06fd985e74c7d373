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
import org.celeryusher.standin.server.WorkLedger
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Sends the ordinary load of a deployment through the nodes of a fleet, at a fixed rate for each kind of call.
 *
 * A caller whose connection to a node fails sends idempotent work again once, through another node, marked as a retry. Work that is
 * not idempotent is sent once, and what its caller was told about it is kept for [falselyNotRun].
 */
public class LoadGenerator(
    private val fleet: LocalFleet,
    private val caller: Caller,
    private val calls: List<CallShape> = fleet.shape.calls,
    private val random: Random = Random(1),
) {
    private val records = calls.associate { it.rank to RankRecord(it.rank) }
    private val claims = ConcurrentHashMap<String, RunStatus>()
    private val cutVia = ConcurrentHashMap<InstanceName, AtomicInteger>()
    private val workNumbers = AtomicLong()
    private val room = Semaphore(MAXIMUM_IN_FLIGHT)
    private val inFlight = ConcurrentHashMap.newKeySet<Job>()
    private var pacers = emptyList<Job>()

    /** What each rank got so far, in the order of the deployment's calls. */
    public val results: List<RankResult> get() = records.values.map(RankRecord::result)

    /** How many pieces of work that must run at most once were sent and ended for their caller. */
    public val onceWorks: Int get() = claims.size

    /** Starts to send in [scope]. */
    public fun start(scope: CoroutineScope) {
        pacers = calls.map { shape -> scope.launch { pace(shape, scope) } }
    }

    /** Stops sending and waits for the calls in flight. */
    public suspend fun finish() {
        pacers.forEach { it.cancelAndJoin() }
        inFlight.toList().joinAll()
    }

    /** Returns the works that a caller was told did not run, though [ledger] counts a run. */
    public fun falselyNotRun(ledger: WorkLedger): List<String> =
        claims.filter { (work, status) -> status == RunStatus.NOT_RUN && ledger.runsOf(work) > 0 }.keys.sorted()

    /** Returns how many calls lost their open connection to the node of [instance]. */
    public fun callsCutVia(instance: InstanceName): Int = cutVia[instance]?.get() ?: 0

    private suspend fun pace(
        shape: CallShape,
        scope: CoroutineScope,
    ) {
        val start = TimeSource.Monotonic.markNow()
        val interval = 1.seconds / shape.callsPerSecond
        var number = 0L
        while (scope.isActive) {
            number++
            delay(interval * number.toDouble() - start.elapsedNow())
            room.acquire()
            val job = scope.launch { callOnce(shape) }
            inFlight += job
            job.invokeOnCompletion {
                inFlight -= job
                room.release()
            }
        }
    }

    private suspend fun callOnce(shape: CallShape) {
        val work = "${shape.rank}-${workNumbers.incrementAndGet()}"
        val record = records.getValue(shape.rank)
        val first = send(shape, work, shape.deadline, isRetry = false) ?: return
        val outcome = if (first.isWorthSendingAgain(shape)) sendAgain(shape, work, record, first) else first
        record.record(outcome, shape.deadline)
        if (!shape.idempotent) claims[work] = claimOf(outcome)
    }

    private suspend fun sendAgain(
        shape: CallShape,
        work: String,
        record: RankRecord,
        first: CallOutcome,
    ): CallOutcome {
        record.recordSentAgain()
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
        if (outcome.reason != NOT_CONNECTED) cutVia.computeIfAbsent(instance.name) { AtomicInteger() }.incrementAndGet()
    }

    private fun CallOutcome.isWorthSendingAgain(shape: CallShape): Boolean = this is CallOutcome.Lost && shape.idempotent

    private fun claimOf(outcome: CallOutcome): RunStatus =
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
