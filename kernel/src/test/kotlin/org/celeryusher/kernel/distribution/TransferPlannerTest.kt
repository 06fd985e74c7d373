package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.SampleDocuments
import org.celeryusher.kernel.identity.InstanceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a node that exhausts its bandwidth when many peers pull at once, and against a delta that the peer cannot apply. */
class TransferPlannerTest {
    private val first = SampleDocuments.snapshot(1)
    private val second = SampleDocuments.snapshot(2, deadline = 2_001)
    private val peer = InstanceName("i1")

    private fun plannerOf(settings: SpreadSettings = SpreadSettings()) =
        TransferPlanner(settings).also {
            it.inForce(first)
            it.inForce(second)
        }

    @Test
    fun answerDependsOnWhatThePeerHolds() {
        val cases =
            listOf(
                "nothing held" to null to TransferDecision.Whole::class,
                "a base that is kept" to first.digest to TransferDecision.Delta::class,
                "an unknown base" to first.digest.copy(contentHash = 1) to TransferDecision.Whole::class,
                "the same configuration" to second.digest to TransferDecision.Nothing::class,
                "the same version, different content" to second.digest.copy(contentHash = 1) to TransferDecision.Nothing::class,
                "a newer version" to second.digest.copy(version = 3) to TransferDecision.Nothing::class,
            )
        for ((case, expected) in cases) assertEquals(expected, plannerOf().answer(peer, case.second, START)::class, case.first)
        assertIs<TransferDecision.Nothing>(TransferPlanner().answer(peer, null, START))
    }

    @Test
    fun concurrentTransfersAreBounded() {
        val planner = plannerOf(SpreadSettings(maximumConcurrentTransfers = 2))

        fun answer(
            instance: String,
            seconds: Int,
        ) = planner.answer(InstanceName(instance), null, at(seconds.seconds))::class
        val (whole, busy) = TransferDecision.Whole::class to TransferDecision.Busy::class
        assertEquals(listOf(whole, busy, whole, busy), listOf("a", "a", "b", "c").map { answer(it, 0) })
        planner.ended(InstanceName("a"))
        assertEquals(listOf(whole, busy), listOf("c", "d").map { answer(it, 1) })
        assertEquals(whole, answer("d", 5), "the transfer to b counts as ended")
    }

    @Test
    fun byteRateIsLimitedExceptForSmallDeltas() {
        val size = second.canonicalText.length
        val planner = plannerOf(SpreadSettings(bytesPerSecond = size, burstBytes = size + 1, smallDeltaBytes = 700))
        val answers =
            (1..3).map { index ->
                planner.answer(InstanceName("i$index"), null, START).also { planner.ended(InstanceName("i$index")) }
            }
        assertEquals(
            listOf(TransferDecision.Whole::class, TransferDecision.Whole::class, TransferDecision.Busy::class),
            answers.map { it::class },
        )
        assertIs<TransferDecision.Delta>(planner.answer(InstanceName("i4"), first.digest, START))
        val wait = assertIs<TransferDecision.Busy>(answers.last()).retryAfter
        assertIs<TransferDecision.Busy>(planner.answer(peer, null, START + wait - 1.milliseconds))
        assertIs<TransferDecision.Whole>(planner.answer(peer, null, START + 2.seconds))
    }

    @Test
    fun pushIncludesADeltaOnlyWhenItIsSmall() {
        assertNotNull(plannerOf().deltaForPush(first.digest))
        assertNull(plannerOf(SpreadSettings(smallDeltaBytes = 10)).deltaForPush(first.digest))
        assertNull(plannerOf().deltaForPush(null))
    }
}
