package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against transfers that another one makes needless, and against a node that asks peers in vain for ever. */
class DocumentTransfersTest {
    private fun digest(version: Long) = ConfigurationDigest(version, version)

    @Test
    fun oneTransferAtATimeBringsANewerVersion() {
        val transfers = DocumentTransfers()
        assertFalse(transfers.begin(digest(5), held = 5), "nothing newer")
        assertTrue(transfers.begin(digest(5), held = 4))
        assertEquals(digest(5), transfers.awaited)
        assertFalse(transfers.begin(digest(6), held = 4), "another one under way")
        assertEquals(TransferOutcome.ASK_PEERS, transfers.ended(isComplete = true))
        assertTrue(transfers.begin(digest(6), held = 5))
    }

    @Test
    fun thePlatformIsReadAfterTwoFailuresInSuccession() {
        val transfers = DocumentTransfers()
        val outcomes =
            listOf(false, true, false, false, false).map { isComplete ->
                transfers.begin(digest(9), held = 1)
                transfers.ended(isComplete)
            }
        val ask = TransferOutcome.ASK_PEERS
        assertEquals(listOf(ask, ask, ask, TransferOutcome.READ_PLATFORM, ask), outcomes)
    }
}
