package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.SampleDocuments
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class VersionHolderTest {
    private val platform = ConfigurationSource.Platform
    private val peer = ConfigurationSource.Peer(InstanceName("i1"))
    private val afterWait = at(3.seconds)

    private fun holder(waitLimit: Duration = 2.seconds) =
        VersionHolder(VersionFloor(START, DataCentreName("d0"), FloorSettings(waitLimit = waitLimit)), memoryLimit = 4)

    private fun holderOf(version: Long) = holder().also { it.offer(SampleDocuments.snapshot(version), platform, afterWait) }

    private fun report(
        instance: Int,
        version: Long,
    ) = FloorReport(InstanceName("i$instance"), DataCentreName("d${instance % 4}"), version)

    @Test
    fun whatIsOfferedIsTakenOnlyWhenItIsNewerAndValid() {
        val cases =
            listOf(
                Triple("newer", SampleDocuments.text(6), OfferDecision.InForce::class),
                Triple("the same", SampleDocuments.text(5), OfferDecision.AlreadyHeld::class),
                Triple("older", SampleDocuments.text(4), OfferDecision.Older::class),
                Triple("same number, other content", SampleDocuments.text(5, deadline = 1), OfferDecision.ConflictingContent::class),
                Triple("faulty", SampleDocuments.text(6, deadline = 0), OfferDecision.Refused::class),
                Triple("cut off", SampleDocuments.text(6).dropLast(9), OfferDecision.Refused::class),
            )
        for ((name, text, expected) in cases) {
            val holder = holderOf(5)
            assertEquals(expected, holder.offer(text.encodeToByteArray(), peer, afterWait)::class, name)
            val taken = expected == OfferDecision.InForce::class
            assertEquals(
                if (taken) 6 else 5,
                holder.current
                    ?.snapshot
                    ?.digest
                    ?.version,
                name,
            )
            assertEquals(if (taken) peer else platform, holder.current?.source, name)
        }
    }

    @Test
    fun aStartedNodeWaitsForTheVersionThatSeveralPeersHave() {
        val holder = holder()
        assertIs<OfferDecision.HeldBelowFloor>(holder.offer(SampleDocuments.snapshot(4), platform, at(1.milliseconds)))
        listOf(report(4, 4), report(8, 5)).forEach { assertNull(holder.reportFloor(it, at(2.milliseconds))) }
        assertNull(holder.reportFloor(report(1, 4), at(3.milliseconds)), "4 is below the 5 that a peer has")
        assertNull(holder.current)
        assertEquals(5L, (holder.offer(SampleDocuments.snapshot(4), peer, at(4.milliseconds)) as OfferDecision.HeldBelowFloor).floor)
        assertIs<OfferDecision.InForce>(holder.offer(SampleDocuments.snapshot(5), peer, at(5.milliseconds)))
    }

    @Test
    fun reportsOfOneDataCentreAloneAreNotEnough() {
        val holder = holder()
        holder.offer(SampleDocuments.snapshot(5), platform, START)
        listOf(4, 8, 12, 16).forEach { assertNull(holder.reportFloor(report(it, 5), START)) }
        assertIs<OfferDecision.InForce>(holder.reportFloor(report(1, 5), START))
    }

    @Test
    fun theWaitIsBoundedAndItsFailureIsSaid() {
        val holder = holder()
        holder.offer(SampleDocuments.snapshot(4), platform, START)
        holder.reportFloor(report(1, 9), START)
        assertNull(holder.onTime(at(1_999.milliseconds)))
        assertEquals(at(2.seconds), holder.nextTime)
        assertEquals(9L, holder.onTime(at(2.seconds))?.belowFloor)
        assertEquals(
            4L,
            holder.current
                ?.snapshot
                ?.digest
                ?.version,
        )
        assertNull(holder.nextTime)
        assertEquals(9L, (holder.events.single() as HolderEvent.Taken).belowFloor)
    }

    @Test
    fun refusalsAreRememberedRecordedOnceAndBounded() {
        val holder = holderOf(5)
        val bad = SampleDocuments.text(7, deadline = 0).encodeToByteArray()
        val claimed = SampleDocuments.snapshot(7).digest
        assertFalse((holder.offer(bad, peer, afterWait, claimed) as OfferDecision.Refused).repeated)
        assertTrue(holder.wants(claimed, afterWait), "bytes that came once may have been damaged on the way")
        assertTrue((holder.offer(bad, peer, afterWait, claimed) as OfferDecision.Refused).repeated)
        assertFalse(holder.wants(claimed, afterWait))
        assertTrue(holder.wants(claimed, afterWait + 30.seconds))
        val refusal = assertIs<HolderEvent.Refused>(holder.events.last())
        assertEquals(7L to "$.defaults.deadlineMilliseconds", refusal.version to refusal.faults.head.path)
        assertEquals(2, holder.events.size)
        repeat(9) { holder.offer(SampleDocuments.text(5, deadline = 10L + it).encodeToByteArray(), peer, afterWait) }
        assertEquals(4, holder.events.size)
        assertIs<HolderEvent.Conflict>(holder.events.first())
    }

    @Test
    fun aValidDocumentOtherThanTheAnnouncedIsRefused() {
        val holder = holderOf(5)
        val bytes = SampleDocuments.text(6, deadline = 2_001).encodeToByteArray()
        assertIs<OfferDecision.Refused>(holder.offer(bytes, peer, afterWait, SampleDocuments.snapshot(6).digest))
        assertIs<OfferDecision.InForce>(holder.offer(bytes, peer, afterWait, SampleDocuments.snapshot(6, deadline = 2_001).digest))
    }

    @Test
    fun aWatchWaitsPastARefusedDocumentForATime() {
        val holder = holderOf(5)
        holder.offer(SampleDocuments.text(99, deadline = 0).encodeToByteArray(), platform, afterWait)
        assertEquals(99, holder.watchAfter(afterWait + 29.seconds))
        assertEquals(5, holder.watchAfter(afterWait + 30.seconds))
    }
}
