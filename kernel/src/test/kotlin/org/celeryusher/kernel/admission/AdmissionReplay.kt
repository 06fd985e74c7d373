package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** The workload of one rank: [normal] and [flood] are the demanded slots outside and during the flood. */
internal data class RankWorkload(
    val name: String,
    val normal: Double,
    val flood: Double,
    val service: Duration,
    val deadline: Duration,
)

/** The results of one rank. [usefulSlots] is the mean number of slots that were used for calls that ended within their deadline. */
internal data class RankResult(
    val calls: Int,
    val withinDeadline: Double,
    val demandedSlots: Double,
    val usefulSlots: Double,
)

/** The scheduler under test in an [AdmissionReplay]. */
internal interface ReplayedScheduler {
    fun arrive(
        request: AdmissionRequest<Int>,
        now: Moment,
    ): List<AdmissionDecision<Int>>

    fun finished(
        key: Int,
        serviceTime: Duration,
        now: Moment,
    ): List<AdmissionDecision<Int>>

    fun tick(now: Moment): List<AdmissionDecision<Int>> = emptyList()
}

internal fun AdmissionController<Int>.replayed(): ReplayedScheduler {
    val controller = this
    return object : ReplayedScheduler {
        override fun arrive(
            request: AdmissionRequest<Int>,
            now: Moment,
        ) = controller.arrive(request, now)

        override fun finished(
            key: Int,
            serviceTime: Duration,
            now: Moment,
        ) = controller.finished(key, serviceTime, ServiceOutcome.OK, now)

        override fun tick(now: Moment) = controller.tick(now)
    }
}

/** A baseline without shares or deadlines: bounded queues served in order of arrival or, with [byRank], in strict order of rank. */
internal class QueueScheduler(
    private val byRank: Boolean,
    private val slots: Int,
    private val queueCapacity: Int,
) : ReplayedScheduler {
    private val queues = List(10) { ArrayDeque<AdmissionRequest<Int>>() }
    private var running = 0
    private val inputs = AdmissionInputs(0, 0, slots, 0, 0)

    override fun arrive(
        request: AdmissionRequest<Int>,
        now: Moment,
    ): List<AdmissionDecision<Int>> =
        when {
            running < slots -> listOf(start(request))
            queueOf(request).size < queueCapacity -> emptyList<AdmissionDecision<Int>>().also { queueOf(request).addLast(request) }
            else -> listOf(AdmissionDecision.Refuse(request.key, inputs, RefusalCause.QUEUE_FULL, Duration.ZERO))
        }

    override fun finished(
        key: Int,
        serviceTime: Duration,
        now: Moment,
    ): List<AdmissionDecision<Int>> {
        running -= 1
        return listOfNotNull(queues.firstOrNull { it.isNotEmpty() }?.removeFirst()?.let(::start))
    }

    private fun queueOf(request: AdmissionRequest<Int>) = queues[if (byRank) request.rankPosition else 0]

    private fun start(request: AdmissionRequest<Int>): AdmissionDecision<Int> {
        running += 1
        return AdmissionDecision.Start(request.key, inputs, Duration.ZERO, StartReason.URGENCY)
    }
}

/** Replays Poisson arrivals with a flood against a scheduler in virtual time; the server runs the calls that the scheduler starts. */
internal class AdmissionReplay(
    private val workloads: List<RankWorkload>,
    private val scheduler: ReplayedScheduler,
    seed: Int,
) {
    private val random = Random(seed)
    private val calls = ArrayList<ReplayedCall>()
    private val events = PriorityQueue<Pair<Moment, () -> Unit>>(compareBy { it.first })

    /** The latest arrival, counted from the end of the flood, of a call that did not end within its deadline. */
    val lastMiss: Duration get() = calls.filter { !it.isUseful }.maxOfOrNull { it.arrival - floodEnd } ?: -floodLength

    fun run(): AdmissionReplay {
        workloads.indices.forEach { arriveNext(it, Moment(0)) }
        tickFrom(Moment(0))
        while (events.isNotEmpty()) events.poll().second()
        return this
    }

    fun results(window: ClosedRange<Moment>): List<RankResult> {
        val seconds = (window.endInclusive - window.start) / 1.seconds
        return workloads.indices.map { rank ->
            val own = calls.filter { it.request.rankPosition == rank && it.arrival in window }
            RankResult(
                calls = own.size,
                withinDeadline = own.count(ReplayedCall::isUseful) / own.size.toDouble(),
                demandedSlots = own.sumOf { it.service / 1.seconds } / seconds,
                usefulSlots =
                    calls
                        .filter { it.request.rankPosition == rank && it.isUseful && checkNotNull(it.end) in window }
                        .sumOf { it.service / 1.seconds } / seconds,
            )
        }
    }

    private fun arriveNext(
        rank: Int,
        after: Moment,
    ) {
        val workload = workloads[rank]
        val slots = if (after in floodWindow) workload.flood else workload.normal
        val arrival = after + exponential(workload.service / slots)
        if (arrival > end) return
        events += arrival to
            {
                val request = AdmissionRequest(calls.size, rank, arrival + workload.deadline)
                calls += ReplayedCall(request, arrival, workload.service * MINIMUM + exponential(workload.service * (1 - MINIMUM)))
                carryOut(scheduler.arrive(request, arrival), arrival)
                arriveNext(rank, arrival)
            }
    }

    private fun tickFrom(now: Moment) {
        if (now > end) return
        events += now to
            {
                carryOut(scheduler.tick(now), now)
                tickFrom(now + 10.milliseconds)
            }
    }

    private fun carryOut(
        decisions: List<AdmissionDecision<Int>>,
        now: Moment,
    ) {
        for (decision in decisions.filterIsInstance<AdmissionDecision.Start<Int>>()) {
            val call = calls[decision.key]
            val finish = now + call.service
            call.end = finish
            events += finish to { carryOut(scheduler.finished(decision.key, call.service, finish), finish) }
        }
    }

    private fun exponential(mean: Duration): Duration = (-ln(1.0 - random.nextDouble()) * mean.inWholeNanoseconds).nanoseconds

    private class ReplayedCall(
        val request: AdmissionRequest<Int>,
        val arrival: Moment,
        val service: Duration,
    ) {
        var end: Moment? = null
        val isUseful: Boolean get() = end?.let { it <= request.deadline } ?: false
    }

    companion object {
        private const val MINIMUM = 0.2
        val floodLength = 20.seconds
        private val floodStart = Moment(0) + 5.seconds
        val floodEnd = floodStart + floodLength
        private val end = floodEnd + 10.seconds
        val floodWindow = floodStart..floodEnd
        val backlogWindow = (floodStart + 1.seconds)..floodEnd
        val afterWindow = (floodEnd + 5.seconds)..(end - 1.seconds)
    }
}
