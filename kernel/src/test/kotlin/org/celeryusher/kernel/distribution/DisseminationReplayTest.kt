package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates the dissemination of one version from one reader, and guards against nodes that it never reaches and against excess pushes.
 *
 * A version can miss a node when pushes go to failed nodes that are not suspected yet, or when messages are lost.
 */
class DisseminationReplayTest {
    private data class Case(
        val name: String,
        val nodes: Int,
        val failedShare: Double,
        val lossRate: Double,
    )

    private data class Outcome(
        val reachedAfter: List<Duration>,
        val pushes: Int,
        val crossDataCentrePushes: Int,
    )

    private val digest = ConfigurationDigest(2, 2)

    @Test
    fun oneVersionReachesEveryLiveNode() {
        val cases =
            listOf(
                Case("13 nodes", 13, 0.0, 0.0),
                Case("200 nodes", 200, 0.0, 0.0),
                Case("1,600 nodes", 1_600, 0.0, 0.0),
                Case("1,600 nodes, 10% failed, 5% of messages lost", 1_600, 0.1, 0.05),
            )
        for (case in cases) {
            val dissemination = simulateDissemination(case)
            val tree = simulateTree(case)
            println("${case.name}: planner ${summary(dissemination)}; tree ${summary(tree)}")
            assertTrue(dissemination.reachedAfter.max() <= 8.seconds, case.name)
            assertTrue(dissemination.pushes <= case.nodes * (SpreadSettings().fanOut + 1), case.name)
            assertTrue(dissemination.crossDataCentrePushes <= 3, case.name)
        }
    }

    private fun simulateDissemination(case: Case): Outcome {
        val random = Random(4)
        val fleet = members(case.nodes)
        val view = MembershipView(fleet)
        val indices = fleet.withIndex().associate { (index, member) -> member.instance to index }
        val failed = BooleanArray(case.nodes) { it > 0 && random.nextDouble() < case.failedShare }
        val reached = arrayOfNulls<Moment>(case.nodes)
        val queue = PriorityQueue<Pair<Moment, () -> Unit>>(compareBy { it.first })
        val planners = fleet.map { SpreadPlanner(it) }
        var pushes = 0
        var crossDataCentrePushes = 0

        fun receive(
            index: Int,
            source: ConfigurationSource,
            now: Moment,
        ) {
            if (failed[index] || reached[index] != null) return
            reached[index] = now
            for (target in planners[index].pushTargets(digest, source, view, random)) {
                pushes++
                if (target.dataCentre != fleet[index].dataCentre) crossDataCentrePushes++
                if (random.nextDouble() < case.lossRate) continue
                val arrival = now + HOP_LATENCY
                queue.add(
                    arrival to { receive(indices.getValue(target.instance), ConfigurationSource.Peer(fleet[index].instance), arrival) },
                )
            }
        }

        fun gossip(
            index: Int,
            now: Moment,
        ) {
            queue.add(now + GOSSIP_PERIOD to { gossip(index, now + GOSSIP_PERIOD) })
            val peer = planners[index].selectGossipPeer(view, random)?.let { indices.getValue(it.instance) } ?: return
            if (failed[index] || failed[peer] || random.nextDouble() < case.lossRate) return
            if (reached[peer] != null) receive(index, ConfigurationSource.Peer(fleet[peer].instance), now + HOP_LATENCY)
            if (reached[index] != null) receive(peer, ConfigurationSource.Peer(fleet[index].instance), now + HOP_LATENCY)
        }
        repeat(case.nodes) { index -> (START + GOSSIP_PERIOD * random.nextDouble()).let { queue.add(it to { gossip(index, it) }) } }
        receive(0, ConfigurationSource.Platform, START)
        while (queue.peek().first < at(20.seconds)) queue.poll().second()
        val times = reached.indices.filter { !failed[it] }.map { (reached[it] ?: at(20.seconds)) - START }
        return Outcome(times, pushes, crossDataCentrePushes)
    }

    /**
     * Simulates the alternative design: a tree with four children per node.
     *
     * The children of a failed node, and nodes whose message is lost, are reached only after the failure is detected.
     */
    private fun simulateTree(case: Case): Outcome {
        val random = Random(4)
        val failed = BooleanArray(case.nodes) { it > 0 && random.nextDouble() < case.failedShare }
        val reached = Array(case.nodes) { Duration.ZERO }
        for (index in 1 until case.nodes) {
            val parent = (index - 1) / TREE_CHILDREN
            val isMissed = failed[parent] || random.nextDouble() < case.lossRate
            reached[index] = reached[parent] + if (isMissed) FAILURE_DETECTION_TIME else HOP_LATENCY
        }
        return Outcome(reached.filterIndexed { index, _ -> !failed[index] }, case.nodes - 1, 3)
    }

    private fun summary(outcome: Outcome): String {
        val sorted = outcome.reachedAfter.sorted()
        val times = "p50 ${sorted[sorted.size / 2]} p99 ${sorted[sorted.size * 99 / 100]} last ${sorted.last()}"
        return "$times, ${outcome.pushes.toDouble() / sorted.size} pushes per node, ${outcome.crossDataCentrePushes} to other data centres"
    }

    private companion object {
        const val TREE_CHILDREN = 4
        val HOP_LATENCY = 5.milliseconds
        val GOSSIP_PERIOD = 1.seconds
        val FAILURE_DETECTION_TIME = 4.seconds
    }
}
