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

/**
 * Guards against a version that decreases and against an invalid or corrupted document in force.
 *
 * A restarted node does not know its earlier version, so a stale platform replica could make it put an older one in force.
 */
class VersionHolderTest {
    private val platform = ConfigurationSource.Platform
    private val peer = ConfigurationSource.Peer(InstanceName("i1"))
    private val afterWait = at(3.seconds)

    private fun holder(waitLimit: Duration = 2.seconds) =
        VersionHolder(VersionFloor(START, DataCentreName("d0"), FloorSettings(waitLimit = waitLimit)), maximumRememberedEntries = 4)

    private fun holderOf(version: Long) = holder().also { it.offer(SampleDocuments.snapshot(version), platform, afterWait) }

    private fun report(
        instance: Int,
        version: Long,
    ) = FloorReport(InstanceName("i$instance"), DataCentreName("d${instance % 4}"), version)

    @Test
    fun onlyNewerValidConfigurationsArePutInForce() {
        val cases =
            listOf(
                Triple("newer", SampleDocuments.text(6), OfferDecision.InForce::class),
                Triple("the same", SampleDocuments.text(5), OfferDecision.AlreadyHeld::class),
                Triple("older", SampleDocuments.text(4), OfferDecision.Older::class),
                Triple("same version, different content", SampleDocuments.text(5, deadline = 1), OfferDecision.ConflictingContent::class),
                Triple("faulty", SampleDocuments.text(6, deadline = 0), OfferDecision.Refused::class),
                Triple("truncated", SampleDocuments.text(6).dropLast(9), OfferDecision.Refused::class),
            )
        for ((name, text, expected) in cases) {
            val holder = holderOf(5)
            assertEquals(expected, holder.offer(text.encodeToByteArray(), peer, afterWait)::class, name)
            val isPutInForce = expected == OfferDecision.InForce::class
            assertEquals(
                if (isPutInForce) 6 else 5,
                holder.current
                    ?.snapshot
                    ?.digest
                    ?.version,
                name,
            )
            assertEquals(if (isPutInForce) peer else platform, holder.current?.source, name)
        }
    }

    @Test
    fun startedNodeWaitsForTheHighestVersionOfItsPeers() {
        val holder = holder()
        assertIs<OfferDecision.HeldBelowFloor>(holder.offer(SampleDocuments.snapshot(4), platform, at(1.milliseconds)))
        listOf(report(4, 4), report(8, 5)).forEach { assertNull(holder.reportFloor(it, at(2.milliseconds))) }
        assertNull(holder.reportFloor(report(1, 4), at(3.milliseconds)), "version 4 is below version 5 of a peer")
        assertNull(holder.current)
        assertEquals(5L, (holder.offer(SampleDocuments.snapshot(4), peer, at(4.milliseconds)) as OfferDecision.HeldBelowFloor).floor)
        assertIs<OfferDecision.InForce>(holder.offer(SampleDocuments.snapshot(5), peer, at(5.milliseconds)))
    }

    @Test
    fun reportsFromOneDataCentreAreNotSufficient() {
        val holder = holder()
        holder.offer(SampleDocuments.snapshot(5), platform, START)
        listOf(4, 8, 12, 16).forEach { assertNull(holder.reportFloor(report(it, 5), START)) }
        assertIs<OfferDecision.InForce>(holder.reportFloor(report(1, 5), START))
    }

    @Test
    fun floorWaitIsBoundedAndItsTimeoutIsReported() {
        val holder = holder()
        holder.offer(SampleDocuments.snapshot(4), platform, START)
        holder.reportFloor(report(1, 9), START)
        assertNull(holder.onTime(at(1_999.milliseconds)))
        assertEquals(at(2.seconds), holder.releaseDueAt)
        assertEquals(9L, holder.onTime(at(2.seconds))?.belowFloor)
        assertEquals(
            4L,
            holder.current
                ?.snapshot
                ?.digest
                ?.version,
        )
        assertNull(holder.releaseDueAt)
        assertEquals(9L, (holder.events.single() as HolderEvent.PutInForce).belowFloor)
    }

    @Test
    fun refusalsAreCachedRecordedOnceAndBounded() {
        val holder = holderOf(5)
        val bad = SampleDocuments.text(7, deadline = 0).encodeToByteArray()
        val claimed = SampleDocuments.snapshot(7).digest
        assertFalse((holder.offer(bad, peer, afterWait, claimed) as OfferDecision.Refused).repeated)
        assertTrue(holder.shouldPull(claimed, afterWait), "bytes that arrived once may have been corrupted in transit")
        assertTrue((holder.offer(bad, peer, afterWait, claimed) as OfferDecision.Refused).repeated)
        assertFalse(holder.shouldPull(claimed, afterWait))
        assertTrue(holder.shouldPull(claimed, afterWait + 30.seconds))
        val refusal = assertIs<HolderEvent.Refused>(holder.events.last())
        assertEquals(7L to "$.defaults.deadlineMilliseconds", refusal.version to refusal.faults.head.path)
        assertEquals(2, holder.events.size)
        repeat(9) { holder.offer(SampleDocuments.text(5, deadline = 10L + it).encodeToByteArray(), peer, afterWait) }
        assertEquals(4, holder.events.size)
        assertIs<HolderEvent.Conflict>(holder.events.first())
    }

    @Test
    fun validDocumentWithAnotherDigestThanAnnouncedIsRefused() {
        val holder = holderOf(5)
        val bytes = SampleDocuments.text(6, deadline = 2_001).encodeToByteArray()
        assertIs<OfferDecision.Refused>(holder.offer(bytes, peer, afterWait, SampleDocuments.snapshot(6).digest))
        assertIs<OfferDecision.InForce>(holder.offer(bytes, peer, afterWait, SampleDocuments.snapshot(6, deadline = 2_001).digest))
    }

    @Test
    fun watchSkipsARefusedVersionForALimitedTime() {
        val holder = holderOf(5)
        holder.offer(SampleDocuments.text(99, deadline = 0).encodeToByteArray(), platform, afterWait)
        assertEquals(99, holder.watchAfter(afterWait + 29.seconds))
        assertEquals(5, holder.watchAfter(afterWait + 30.seconds))
    }
}
