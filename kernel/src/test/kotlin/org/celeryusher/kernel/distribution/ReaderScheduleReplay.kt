package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import java.util.BitSet
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates the schedules of a whole fleet in virtual time, with one gossip exchange per node and second, and counts platform calls. */
internal class ReaderScheduleReplay(
    nodes: Int,
    private val platformIsUp: (Moment) -> Boolean,
    private val changes: List<Moment> = emptyList(),
    seed: Int = 4,
    private val everyNodeWatches: Boolean = false,
) {
    private inner class Node(
        val index: Int,
    ) {
        val freshness = ReadSubject.entries.associateWith { SourceNews() }
        val schedules =
            mapOf(
                ReadSubject.CONFIGURATION to ReaderSchedule(ReadSubject.CONFIGURATION, fleet[index], watchSettings, START, random),
                ReadSubject.INSTANCES to ReaderSchedule(ReadSubject.INSTANCES, fleet[index], pollSettings, START, random),
            )
        val knownNodes = BitSet().also { knownNodes -> (List(SEEDS) { random.nextInt(fleet.size) } + index).forEach(knownNodes::set) }
        private var builtView = MembershipView.EMPTY

        val view: MembershipView
            get() {
                if (knownNodes.cardinality() == fleet.size) return fullView
                if (knownNodes.cardinality() !=
                    builtView.members.size
                ) {
                    builtView = MembershipView(fleet.filterIndexed { index, _ -> knownNodes[index] })
                }
                return builtView
            }
        val answeredSubjects = mutableSetOf<ReadSubject>()
    }

    private data class Event(
        val at: Moment,
        val run: (Moment) -> Unit,
    )

    private val random = Random(seed)
    private val fleet = members(nodes)
    private val fullView = MembershipView(fleet)
    private val watchSettings = ReaderSettings.CONFIGURATION.let { if (everyNodeWatches) it.copy(watchWait = 30.seconds) else it }
    private val pollSettings = if (everyNodeWatches) watchSettings else ReaderSettings.INSTANCES
    private val queue = PriorityQueue<Event>(compareBy { it.at })
    private val calls = mutableListOf<Moment>()
    private val nodes = List(nodes) { Node(it) }
    private val configurationAnswers = mutableListOf<Moment>()

    fun run(until: Duration): ReaderScheduleReplay {
        for (node in nodes) {
            ReadSubject.entries.forEach { subject -> schedule(START) { runSchedule(node, subject, it) } }
            schedule(START + GOSSIP_PERIOD * random.nextDouble()) { gossip(node, it) }
        }
        while (queue.peek().at < at(until)) queue.poll().let { it.run(it.at) }
        return this
    }

    /** Returns the maximum number of calls in any interval of one second between [from] and [to]. */
    fun peakCallsPerSecond(
        from: Duration,
        to: Duration,
    ): Int = calls.filter { it >= at(from) && it < at(to) }.sorted().let { sorted -> peakOf(sorted) }

    fun meanCallsPerSecond(
        from: Duration,
        to: Duration,
    ): Double = calls.count { it >= at(from) && it < at(to) } / (to - from).inWholeMilliseconds.toDouble() * 1_000

    /** Returns the time from [moment] to the first answer to a configuration read of any node. */
    fun firstAnswerAfter(moment: Moment): Duration = configurationAnswers.first { it >= moment } - moment

    fun nodesWithKnownAnswer(): Int = nodes.count { node -> node.freshness.values.all { it.age(START) != null } }

    fun maximumSourceAge(now: Moment): Duration =
        nodes.maxOf { it.freshness.getValue(ReadSubject.CONFIGURATION).age(now) ?: Duration.INFINITE }

    private fun peakOf(sorted: List<Moment>): Int {
        var first = 0
        return sorted.indices.maxOfOrNull { last ->
            while (sorted[last] - sorted[first] >= 1.seconds) first++
            last - first + 1
        } ?: 0
    }

    private fun schedule(
        moment: Moment,
        run: (Moment) -> Unit,
    ) {
        queue.add(Event(moment, run))
    }

    private fun runSchedule(
        node: Node,
        subject: ReadSubject,
        now: Moment,
    ) {
        val own = if (everyNodeWatches) MembershipView.EMPTY else node.view
        when (val decision = node.schedules.getValue(subject).decide(own, node.freshness.getValue(subject).age(now), now)) {
            is ReadDecision.WaitUntil -> schedule(decision.moment) { runSchedule(node, subject, it) }
            is ReadDecision.Read -> read(node, subject, decision.watchWait, now)
        }
    }

    private fun read(
        node: Node,
        subject: ReadSubject,
        watchWait: Duration,
        now: Moment,
    ) {
        calls += now
        val answered = now + (if (subject in node.answeredSubjects) watchWait else Duration.ZERO) + ROUND_TRIP
        val changed = changes.takeIf { subject == ReadSubject.CONFIGURATION }?.firstOrNull { it > now && it < answered }
        schedule(if (platformIsUp(now)) changed?.plus(ROUND_TRIP) ?: answered else now + ROUND_TRIP) { finishRead(node, subject, it) }
    }

    private fun finishRead(
        node: Node,
        subject: ReadSubject,
        now: Moment,
    ) {
        val schedule = node.schedules.getValue(subject)
        if (platformIsUp(now)) {
            schedule.succeeded(now)
            node.freshness.getValue(subject).confirmed(now)
            node.answeredSubjects += subject
            node.knownNodes.set(0, fleet.size)
            if (subject == ReadSubject.CONFIGURATION) configurationAnswers += now
        } else {
            schedule.failed(now, node.view, random)
        }
        schedule(now) { runSchedule(node, subject, it) }
    }

    private fun gossip(
        node: Node,
        now: Moment,
    ) {
        schedule(now + GOSSIP_PERIOD) { gossip(node, it) }
        val peer = selectGossipPeer(node)
        for (subject in ReadSubject.entries) {
            val (own, other) = node.freshness.getValue(subject) to peer.freshness.getValue(subject)
            other.age(now)?.let { own.heard(it, now) }
            own.age(now)?.let { other.heard(it, now) }
        }
        peer.knownNodes.or(node.knownNodes)
        node.knownNodes.or(peer.knownNodes)
    }

    /** Returns a random known node. Once all nodes are known, about 90% of the choices are in the own data centre. */
    private fun selectGossipPeer(node: Node): Node {
        val knownNodes = node.knownNodes
        if (knownNodes.cardinality() < fleet.size) return nodes[knownNodes.stream().toArray().random(random)]
        val localIndex = random.nextInt(fleet.size / DATA_CENTRES) * DATA_CENTRES + node.index % DATA_CENTRES
        return nodes[if (random.nextInt(10) > 0) localIndex else random.nextInt(fleet.size)]
    }

    private companion object {
        const val DATA_CENTRES = 4
        const val SEEDS = 3
        val GOSSIP_PERIOD = 1.seconds
        val ROUND_TRIP = 5.milliseconds
    }
}
