package org.celeryusher.kernel.execution

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.time.Moment
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The network between the nodes of a [CrashFleetReplay]. */
internal data class CrashNetwork(
    val lossShare: Double = 0.0,
    val repeatShare: Double = 0.0,
    val maximumLatency: Duration = 5.milliseconds,
)

/** Plays a fleet in virtual time: crash requests, a frequent sound request, faults of nodes and of the network between them. */
internal class CrashFleetReplay(
    size: Int,
    seed: Int,
    private val network: CrashNetwork = CrashNetwork(),
) {
    /** One crash request: how often it reached a server, and when it had crashed the third one. */
    class CrashRequest(
        val fingerprint: RequestFingerprint,
        val isSafe: Boolean,
    ) {
        var crashes = 0
        var lateSends = 0
        var thirdAt: Moment? = null
    }

    inner class Node(
        val index: Int,
    ) {
        val address = Address("10.${index / 250}.0.${index % 250 + 1}", 7000)
        var suspects = CrashSuspects()
        var sender = CrashReportSender()
        var peers = CrashReportPeers(address)
        var first = FirstCrashReports()
        var lost = LostCalls()
        var isUp = true
        var isCutOff = false
        var processStart = 1L
        var serverStart = 1L
        var isServerUp = true
        var sentBytes = 0L
        val cursors = HashMap<Address, Pair<Long, Long>>()
        val waiting = ArrayList<() -> Unit>()
        val server get() = InstanceName("s$index-$serverStart")

        fun wake() = waiting.toList().also { waiting.clear() }.forEach { it() }

        fun merge(report: CrashReport) {
            if (suspects.merge(report, now) == CrashReportEffect.CHANGED) wake()
        }
    }

    private class Event(
        val at: Moment,
        val order: Long,
        val run: () -> Unit,
    )

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    val nodes = List(size) { Node(it) }
    private val byAddress = nodes.associateBy { it.address }
    private val members =
        nodes.map {
            Member(InstanceName("i${it.index}"), ServiceName("desk"), DataCentreName("d"), it.address, it.address, it.address)
        }
    val popular = RequestFingerprint(7, 7)
    var popularSent = 0
    var popularHeldBack = 0
    var bystanders = 0L

    var now = Moment(0)
        private set

    init {
        nodes.forEach(::start)
        nodes.take(NODES_WITH_POPULAR_REQUEST).forEach { completePopular(it) }
    }

    fun after(
        delay: Duration,
        run: () -> Unit,
    ) {
        events += Event(now + delay, order++, run)
    }

    fun runUntil(end: Duration) {
        while (events.isNotEmpty() && events.peek().at <= Moment(0) + end) {
            val event = events.poll()
            now = event.at
            event.run()
        }
        now = Moment(0) + end
    }

    fun restart(node: Node) {
        node.isUp = true
        node.processStart += 1
        node.suspects = CrashSuspects()
        node.sender = CrashReportSender()
        node.peers = CrashReportPeers(node.address)
        node.first = FirstCrashReports()
        node.lost = LostCalls()
        node.cursors.clear()
        node.waiting.clear()
        start(node)
    }

    /** Sends [request] at [entry], which passes it on to random servers as a proxy does. */
    fun send(
        request: CrashRequest,
        entry: Node,
        attempts: Int = 1,
        sentAt: Moment = now,
        isSuspected: Boolean = false,
    ) {
        if (!entry.isUp) return
        if (!entry.first.isInformed(now)) return after(5.milliseconds) { send(request, entry, attempts, sentAt, isSuspected) }
        val verdict = entry.suspects.verdict(request.fingerprint, now)
        if (verdict is CrashVerdict.Quarantined) return
        val guard = (if (entry.isCutOff) listOf(entry) else nodes.filter { it.isUp && it.isServerUp && !it.isCutOff }).random(random)
        val processStart = guard.serverStart
        after(latency()) {
            if (!guard.isUp || !guard.isServerUp || guard.serverStart != processStart) return@after
            val own = guard.suspects.verdict(request.fingerprint, now, isSuspected || verdict is CrashVerdict.RunExclusively)
            if (own is CrashVerdict.Quarantined) return@after
            run(request, entry, guard, own, attempts, sentAt)
        }
    }

    private fun run(
        request: CrashRequest,
        entry: Node,
        guard: Node,
        verdict: CrashVerdict,
        attempts: Int,
        sentAt: Moment,
    ) {
        if (request.thirdAt?.let { sentAt > it + 3.seconds } == true && !entry.isCutOff) request.lateSends++
        guard.isServerUp = false
        request.crashes++
        if (request.crashes == CRASHES_BEFORE_LATE) request.thirdAt = now
        val id = CrashId(guard.server, guard.serverStart)
        val running = HashSet<RequestFingerprint>().also { it += request.fingerprint }
        if (verdict is CrashVerdict.RunNormally) running += listOf(popular, RequestFingerprint(99, bystanders++))
        val report = guard.suspects.recordCrash(id, running, isComplete = true, 10.minutes, now)
        guard.wake()
        after(3.seconds) {
            guard.serverStart += 1
            guard.isServerUp = true
        }
        after(latency()) {
            if (!guard.isUp) return@after
            if (report != null) entry.merge(report)
            val isQuarantined = entry.suspects.verdict(request.fingerprint, now) is CrashVerdict.Quarantined
            if (request.isSafe && attempts < 2 && !isQuarantined) send(request, entry, attempts + 1, isSuspected = true)
        }
    }

    /** Ends [guard] and its server together while [request] of [entry] runs there, so that only the entry notices. */
    fun endTogether(
        request: CrashRequest,
        entry: Node,
        guard: Node,
    ) {
        if (entry.suspects.verdict(request.fingerprint, now) is CrashVerdict.Quarantined) return
        request.crashes++
        if (request.thirdAt?.let { now > it + 3.seconds } == true) request.lateSends++
        if (request.crashes == CRASHES_BEFORE_LATE) request.thirdAt = now
        val id = CrashId(guard.server, guard.serverStart)
        entry.lost.recordLoss(id.server, null, request.fingerprint, now)
        guard.isUp = false
        guard.isServerUp = false
        after(LIST_LAG) {
            val lost = entry.lost.recordEnd(id.server, null, wasLeaving = false, now)
            if (lost.isNotEmpty()) entry.suspects.recordCrash(id, lost, isComplete = false, 10.minutes, now)
            entry.wake()
            guard.serverStart += 1
            guard.isServerUp = true
            restart(guard)
        }
    }

    private fun start(node: Node) {
        val process = node.processStart
        node.peers.updateMembers(members)
        node.first.recordPeers(nodes.size - 1, now)
        repeat(CrashReportPeers.QUERIES) { query(node, it, process) }
    }

    private fun query(
        node: Node,
        position: Int,
        process: Long,
    ) {
        if (!node.isUp || node.processStart != process) return
        val peer = node.peers.choose(position, random, now)?.let(byAddress::getValue)
        if (peer == null) {
            node.first.recordFailure(position)
            return after(500.milliseconds) { query(node, position, process) }
        }
        val cursor = node.cursors[peer.address]?.takeIf { it.first == peer.processStart }?.second
        var isEnded = false
        val timeout = if (node.first.isInformed(now)) QUERY_WAIT + 300.milliseconds else 300.milliseconds
        after(timeout) {
            if (isEnded) return@after
            isEnded = true
            node.peers.recordFailure(peer.address, now)
            node.first.recordFailure(position)
            query(node, position, process)
        }
        deliver(node, peer) {
            answer(peer, cursor, if (node.first.isInformed(now)) QUERY_WAIT else Duration.ZERO) { batch, answering, isInformed ->
                deliver(peer, node) {
                    if (isEnded || node.processStart != process) return@deliver
                    isEnded = true
                    batch.reports.forEach(node::merge)
                    node.cursors[peer.address] = answering to batch.cursor
                    node.first.recordAnswer(position, isInformed)
                    after(50.milliseconds) { query(node, position, process) }
                }
            }
        }
    }

    private fun answer(
        node: Node,
        cursor: Long?,
        wait: Duration,
        reply: (CrashReportBatch, Long, Boolean) -> Unit,
    ) {
        val process = node.processStart
        var isAnswered = false

        fun answerNow() {
            if (isAnswered || node.processStart != process || !node.isUp) return
            val pause = node.sender.timeUntilAvailable(now)
            if (pause.isPositive()) return after(pause) { answerNow() }
            isAnswered = true
            val batch = node.sender.nextBatch(node.suspects, cursor, now)
            node.sentBytes += batch.reports.sumOf { it.estimatedBytes }
            reply(batch, process, node.first.isInformed(now))
        }
        if (!wait.isPositive() || (cursor ?: 0) != node.suspects.latestChange) return answerNow()
        node.waiting += ::answerNow
        after(wait) { answerNow() }
    }

    private fun deliver(
        from: Node,
        to: Node,
        receive: () -> Unit,
    ) {
        if (random.nextDouble() < network.lossShare || from.isCutOff || to.isCutOff) return
        val copies = if (random.nextDouble() < network.repeatShare) 2 else 1
        repeat(copies) { after(latency()) { if (to.isUp) receive() } }
    }

    private fun completePopular(node: Node) {
        after(random.nextInt(1, 500).milliseconds) {
            if (node.isUp && node.isServerUp) {
                popularSent++
                if (node.suspects.verdict(popular, now) !is CrashVerdict.RunNormally) popularHeldBack++
                if (node.suspects.recordCompletion(popular, now)) node.wake()
            }
            completePopular(node)
        }
    }

    private fun latency(): Duration = random.nextLong(500, network.maximumLatency.inWholeMicroseconds).let { it / 1000.0 }.milliseconds

    private companion object {
        const val CRASHES_BEFORE_LATE = 3
        const val NODES_WITH_POPULAR_REQUEST = 100
        val QUERY_WAIT = 2.seconds
        val LIST_LAG = 4.seconds

        private val Double.milliseconds: Duration get() = (this * 1000).toLong().let { Duration.parse("${it}us") }
    }
}
