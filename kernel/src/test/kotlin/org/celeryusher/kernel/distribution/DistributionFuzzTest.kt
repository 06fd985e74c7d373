package org.celeryusher.kernel.distribution

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs random step sequences against a [FuzzedFleet]; `-Djqwik.tries.default=N` sets the number of sequences.
 *
 * Guards against a node whose version decreases, that puts a corrupted document in force, or that never converges. Lost, duplicated,
 * truncated and corrupted messages, restarts, and invalid or lower published versions can cause this.
 */
class DistributionFuzzTest {
    @Property(seed = "4")
    fun versionsNeverDecreaseAndReachEveryNode(
        @ForAll("steps") steps: List<@JvmSuppressWildcards FuzzedFleet.Step>,
    ) {
        val fleet = FuzzedFleet()
        steps.forEach(fleet::run)
        fleet.healAndCheckConvergence()
    }

    @Provide
    fun steps(): Arbitrary<List<FuzzedFleet.Step>> {
        val node = Arbitraries.integers().between(0, FuzzedFleet.NODES - 1)
        val choice = Arbitraries.integers().between(0, 30)
        val versionStep = Arbitraries.of(1L, 1L, 1L, 2L, 0L, -1L)
        val deadline = Arbitraries.of(0L, 2_000L, 2_000L, 2_000L, 3_000L, 3_000L)
        val time = Arbitraries.integers().between(1, 4_000).map { FuzzedFleet.Step.AdvanceClock(it.milliseconds) }
        val read = Combinators.combine(node, Arbitraries.of(0, 0, 0, 1, 2)).`as`(FuzzedFleet.Step::Read)
        val normalDelivery = Arbitraries.just(FuzzedFleet.Delivery.NORMAL)
        val delivery = Arbitraries.frequencyOf(Tuple.of(2, normalDelivery), Tuple.of(1, Arbitraries.of(FuzzedFleet.Delivery::class.java)))
        val deliver = Combinators.combine(choice, delivery).`as`(FuzzedFleet.Step::Deliver)
        val publish = Combinators.combine(versionStep, deadline).`as`(FuzzedFleet.Step::Publish)
        val step =
            Arbitraries.frequencyOf(
                Tuple.of(2, publish),
                Tuple.of(4, read),
                Tuple.of(5, Combinators.combine(node, node).`as`(FuzzedFleet.Step::Gossip)),
                Tuple.of(20, deliver),
                Tuple.of(1, node.map(FuzzedFleet.Step::Restart)),
                Tuple.of(2, time),
            )
        return step.list().ofMinSize(20).ofMaxSize(300)
    }
}
