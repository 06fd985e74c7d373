package org.celeryusher.kernel.admission

import java.io.File
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Replays floods of ten times the capacity of a server with six slots, checks the results against targets, and reports them next to
 * those of simple baselines.
 *
 * The results are written to target/flood-replay.md. The system property `celeryusher.replay.seeds` sets the number of seeds.
 */
class FloodReplayTest {
    private class Scenario(
        val name: String,
        val ranks: List<RankWorkload>,
        val shares: DoubleArray,
        /** The ranks that demand no more than their guaranteed share, so that their calls must end within the deadline. */
        val onTime: List<Int>,
    )

    private class Outcome(
        val replay: AdmissionReplay,
        shares: DoubleArray,
    ) {
        val during = replay.results(AdmissionReplay.backlogWindow)
        val after = replay.results(AdmissionReplay.afterWindow)
        val useful = during.sumOf { it.usefulSlots } / SLOTS

        /** The useful slots of each rank, as a fraction of what it demanded or is guaranteed, whichever is less. */
        val achieved = during.mapIndexed { rank, result -> result.usefulSlots / minOf(result.demandedSlots, shares[rank] * SLOTS) }
    }

    private val antwerp = doubleArrayOf(0.3, 0.4, 0.1, 0.1)
    private val sierra = doubleArrayOf(0.3, 0.3, 0.2, 0.2)

    private val scenarios =
        listOf(
            Scenario("Antwerp, flood of archives", antwerpRanks(collections = 0.9, archives = 60.0), antwerp, listOf(0, 1, 2)),
            Scenario("Antwerp, flood of collections", antwerpRanks(collections = 60.0, archives = 1.2), antwerp, listOf(1, 2)),
            Scenario("Sierra, flood of catalogue", sierraRanks(bookings = 1.6, catalogue = 60.0), sierra, listOf(0, 2)),
            Scenario("Sierra, flood of bookings", sierraRanks(bookings = 60.0, catalogue = 1.5), sierra, listOf(2)),
        )

    @Test
    fun floodsMeetTheTargets() {
        val report = StringBuilder()
        for (scenario in scenarios) {
            val outcomes = outcomes(scenario) { AdmissionController<Int>(policyOf(*scenario.shares), at(0)).replayed() }
            report.append(table(scenario, "ranks with shares", outcomes))
            report.append(
                table(scenario, "first in, first out", outcomes(scenario) { QueueScheduler(byRank = false, SLOTS, QUEUE_CAPACITY) }),
            )
            report.append(table(scenario, "strict priority", outcomes(scenario) { QueueScheduler(byRank = true, SLOTS, QUEUE_CAPACITY) }))
            File("target/flood-replay.md").apply { parentFile.mkdirs() }.writeText(report.toString())
            outcomes.forEach { checkTargets(scenario, it) }
        }
    }

    private fun outcomes(
        scenario: Scenario,
        scheduler: () -> ReplayedScheduler,
    ): List<Outcome> = (1..seeds).map { Outcome(AdmissionReplay(scenario.ranks, scheduler(), it).run(), scenario.shares) }

    private fun checkTargets(
        scenario: Scenario,
        outcome: Outcome,
    ) {
        for (rank in scenario.onTime) assertTrue(outcome.during[rank].withinDeadline >= 0.999, "${scenario.name}: rank $rank on time")
        outcome.achieved.forEachIndexed { rank, share -> assertTrue(share >= 0.95, "${scenario.name}: rank $rank achieves $share") }
        assertTrue(outcome.useful >= 0.95, "${scenario.name}: useful work ${outcome.useful}")
        assertTrue(
            outcome.replay.lastMiss <= 5.seconds,
            "${scenario.name}: last missed deadline ${outcome.replay.lastMiss} after the flood",
        )
    }

    private fun table(
        scenario: Scenario,
        scheduler: String,
        outcomes: List<Outcome>,
    ): String =
        scenario.ranks.indices.joinToString("") { rank ->
            "| %s | %s | %s | %.2f%% | %.0f%% | %.1f%% | %d ms |%n".format(
                scenario.name,
                scheduler,
                scenario.ranks[rank].name,
                outcomes.minOf { it.during[rank].withinDeadline } * 100,
                outcomes.minOf { it.achieved[rank] } * 100,
                outcomes.minOf { it.useful } * 100,
                outcomes.maxOf { it.replay.lastMiss }.inWholeMilliseconds,
            )
        }

    private fun antwerpRanks(
        collections: Double,
        archives: Double,
    ) = listOf(
        RankWorkload("collections", 0.9, collections, 40.milliseconds, 2.seconds),
        RankWorkload("lookups", 2.1, 2.1, 10.milliseconds, 300.milliseconds),
        RankWorkload("internal", 0.3, 0.3, 5.milliseconds, 300.milliseconds),
        RankWorkload("archives", 1.2, archives, 80.milliseconds, 5.seconds),
    )

    private fun sierraRanks(
        bookings: Double,
        catalogue: Double,
    ) = listOf(
        RankWorkload("bookings", 1.0, bookings, 30.milliseconds, 2.seconds),
        RankWorkload("lookups", 1.5, 2.4, 10.milliseconds, 500.milliseconds),
        RankWorkload("stock", 0.5, 0.9, 5.milliseconds, 500.milliseconds),
        RankWorkload("catalogue", 1.2, catalogue, 60.milliseconds, 5.seconds),
    )

    private companion object {
        const val SLOTS = 6
        const val QUEUE_CAPACITY = 48
        val seeds: Int = Integer.getInteger("celeryusher.replay.seeds", 3)
    }
}
