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

/** How one version spreads from one reader over a fleet in which some nodes are gone and not yet suspected, and messages are lost. */
class SpreadReplayTest {
    private data class Case(
        val name: String,
        val nodes: Int,
        val goneShare: Double,
        val lostShare: Double,
    )

    private data class Outcome(
        val reachedAfter: List<Duration>,
        val pushes: Int,
        val crossings: Int,
    )

    private val digest = ConfigurationDigest(2, 2)

    @Test
    fun oneVersionReachesEveryLiveNode() {
        val cases =
            listOf(
                Case("13 nodes", 13, 0.0, 0.0),
                Case("200 nodes", 200, 0.0, 0.0),
                Case("1,600 nodes", 1_600, 0.0, 0.0),
                Case("1,600 nodes, a tenth gone, a twentieth of messages lost", 1_600, 0.1, 0.05),
            )
        for (case in cases) {
            val spread = spread(case)
            val tree = tree(case)
            println("${case.name}: planner ${summary(spread)}; tree ${summary(tree)}")
            assertTrue(spread.reachedAfter.max() <= 8.seconds, case.name)
            assertTrue(spread.pushes <= case.nodes * (SpreadSettings().fanOut + 1), case.name)
            assertTrue(spread.crossings <= 3, case.name)
        }
    }

    private fun spread(case: Case): Outcome {
        val random = Random(4)
        val fleet = members(case.nodes)
        val view = MembershipView(fleet)
        val indices = fleet.withIndex().associate { (index, member) -> member.instance to index }
        val gone = BooleanArray(case.nodes) { it > 0 && random.nextDouble() < case.goneShare }
        val reached = arrayOfNulls<Moment>(case.nodes)
        val queue = PriorityQueue<Pair<Moment, () -> Unit>>(compareBy { it.first })
        val planners = fleet.map { SpreadPlanner(it) }
        var pushes = 0
        var crossings = 0

        fun take(
            index: Int,
            source: ConfigurationSource,
            now: Moment,
        ) {
            if (gone[index] || reached[index] != null) return
            reached[index] = now
            for (target in planners[index].pushTargets(digest, source, view, random)) {
                pushes++
                if (target.dataCentre != fleet[index].dataCentre) crossings++
                if (random.nextDouble() < case.lostShare) continue
                val arrival = now + HOP
                queue.add(arrival to { take(indices.getValue(target.instance), ConfigurationSource.Peer(fleet[index].instance), arrival) })
            }
        }

        fun gossip(
            index: Int,
            now: Moment,
        ) {
            queue.add(now + GOSSIP_PERIOD to { gossip(index, now + GOSSIP_PERIOD) })
            val partner = planners[index].partner(view, random)?.let { indices.getValue(it.instance) } ?: return
            if (gone[index] || gone[partner] || random.nextDouble() < case.lostShare) return
            if (reached[partner] != null) take(index, ConfigurationSource.Peer(fleet[partner].instance), now + HOP)
            if (reached[index] != null) take(partner, ConfigurationSource.Peer(fleet[index].instance), now + HOP)
        }
        repeat(case.nodes) { index -> (START + GOSSIP_PERIOD * random.nextDouble()).let { queue.add(it to { gossip(index, it) }) } }
        take(0, ConfigurationSource.Platform, START)
        while (queue.peek().first < at(20.seconds)) queue.poll().second()
        val times = reached.indices.filter { !gone[it] }.map { (reached[it] ?: at(20.seconds)) - START }
        return Outcome(times, pushes, crossings)
    }

    /** The weighed alternative: a tree with four children a node; the children of a gone or missed node wait until that is detected. */
    private fun tree(case: Case): Outcome {
        val random = Random(4)
        val gone = BooleanArray(case.nodes) { it > 0 && random.nextDouble() < case.goneShare }
        val reached = Array(case.nodes) { Duration.ZERO }
        for (index in 1 until case.nodes) {
            val parent = (index - 1) / TREE_CHILDREN
            val missed = gone[parent] || random.nextDouble() < case.lostShare
            reached[index] = reached[parent] + if (missed) DETECTION else HOP
        }
        return Outcome(reached.filterIndexed { index, _ -> !gone[index] }, case.nodes - 1, 3)
    }

    private fun summary(outcome: Outcome): String {
        val sorted = outcome.reachedAfter.sorted()
        val times = "p50 ${sorted[sorted.size / 2]} p99 ${sorted[sorted.size * 99 / 100]} last ${sorted.last()}"
        return "$times, ${outcome.pushes.toDouble() / sorted.size} pushes a node, ${outcome.crossings} crossings"
    }

    private companion object {
        const val TREE_CHILDREN = 4
        val HOP = 5.milliseconds
        val GOSSIP_PERIOD = 1.seconds
        val DETECTION = 4.seconds
    }
}
