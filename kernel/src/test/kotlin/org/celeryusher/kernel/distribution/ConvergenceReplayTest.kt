package org.celeryusher.kernel.distribution

import org.junit.jupiter.api.Tag
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConvergenceReplayTest {
    private data class Case(
        val nodes: Int,
        val versions: Int,
        val interval: Duration,
    )

    /** Guards against nodes that answer by an older version because each change occupies the links of the readers. */
    @Test
    fun changesOfOneRouteAreInForceInTimeOverSlowLinks() {
        val cases =
            listOf(
                Case(nodes = 79, versions = 1, interval = 1.seconds),
                Case(nodes = 79, versions = 36, interval = 830.milliseconds),
            )
        for (case in cases) {
            val replay =
                replayOf(case.nodes)
            replay.play(case.versions, case.interval, rest = TARGET)
            assertTrue(replay.longestDelay <= TARGET, "$case: a node was behind for ${replay.longestDelay}")
        }
    }

    /** Guards against a fleet in which the last nodes have a version long after the first one, whatever its size. */
    @Test
    fun theLastNodeIsNotFarBehindTheFirstAtAnySize() {
        for (nodes in listOf(79, 300, 1_600)) {
            for (versions in listOf(1, 36)) {
                val calm = replayOf(nodes)
                calm.play(versions, interval = 830.milliseconds, rest = TARGET)
                assertTrue(calm.longestLag <= LAG, "$nodes nodes, $versions versions: ${calm.longestLag}")
                assertTrue(calm.documentReads <= 2 * versions, "$nodes nodes: ${calm.documentReads} documents read from the platform")
                val killed = replayOf(nodes)
                killed.killReader(0, at = 5.1.seconds)
                killed.killReader(1, at = 12.seconds)
                killed.play(versions, interval = 830.milliseconds, rest = TARGET)
                assertTrue(killed.longestLag <= LAG_AFTER_KILLS, "$nodes nodes, $versions versions, readers killed: ${killed.longestLag}")
            }
        }
    }

    /** Guards against readers on slow links, whose data grows old with each document while nodes with fast links only follow. */
    @Test
    fun theNodesWithFastLinksReadThePlatform(): Unit = checkMixedFleets(isKilled = false)

    /** The same when one of the two that read ends. */
    @Test
    @Tag("known-red")
    fun anotherNodeWithAFastLinkReadsThePlatformWhenOneEnds(): Unit = checkMixedFleets(isKilled = true)

    private fun checkMixedFleets(isKilled: Boolean) {
        val faults = ArrayList<String>()
        for (nodes in listOf(79, 300)) {
            val replay = mixedReplayOf(nodes, fastMegabitsPerSecond = 140.0)
            if (isKilled) replay.killFastReader(at = 12.seconds)
            replay.play(versions = 36, interval = 830.milliseconds, rest = TARGET)
            val readers = replay.mostReaders(STEADY)
            val isGood =
                replay.oldestReaderData <= READER_DATA &&
                    replay.longestLag <= (if (isKilled) LAG_AFTER_KILLS else LAG) &&
                    replay.longestDelay <= TARGET &&
                    readers <= if (isKilled) 4 else 3
            val figures =
                "$nodes nodes, one killed: $isKilled: $readers readers within a second, data of one ${replay.oldestReaderData} old, " +
                    "lag ${replay.longestLag}, delay ${replay.longestDelay}"
            if (!isGood) faults += figures
        }
        assertTrue(faults.isEmpty(), faults.joinToString("\n"))
    }

    /** Guards against a fleet without readers, or with more of them, because the document takes too long on all links. */
    @Test
    fun aFleetInWhichAllNodesDeclineIsServedByTwoReaders() {
        for (nodes in listOf(79, 300)) {
            for (isKilled in listOf(false, true)) {
                val replay = mixedReplayOf(nodes, fastMegabitsPerSecond = null)
                if (isKilled) replay.killReader(0, at = 12.seconds)
                replay.play(versions = 36, interval = 830.milliseconds, rest = TARGET)
                val name = "$nodes nodes, one killed: $isKilled"
                assertTrue(replay.longestLag <= if (isKilled) LAG_AFTER_KILLS else LAG, "$name: ${replay.longestLag}")
                assertTrue(replay.longestDelay <= TARGET, "$name: a node was behind for ${replay.longestDelay}")
                val readers = replay.mostReaders(STEADY)
                assertTrue(readers <= if (isKilled) 4 else 3, "$name: $readers nodes have read the platform within a second")
            }
        }
    }

    private fun mixedReplayOf(
        nodes: Int,
        fastMegabitsPerSecond: Double?,
    ) = ConvergenceReplay(
        nodes,
        megabitsPerSecond = 7.0,
        documentBytes = 270_000,
        compressedBytes = 22_000,
        changeBytes = 200,
        fastMegabitsPerSecond,
        readsCompletely = true,
        freeShare = if (fastMegabitsPerSecond == null) 1.0 else 0.4,
        statesLinks = true,
    )

    private fun replayOf(nodes: Int) =
        ConvergenceReplay(nodes, megabitsPerSecond = 7.0, documentBytes = 270_000, compressedBytes = 22_000, changeBytes = 200)

    private companion object {
        val LAG = 1.seconds
        val LAG_AFTER_KILLS = 2.seconds

        /** The age of the data of a reader up to which all nodes follow it. */
        val READER_DATA = SourceScheduleSettings().maximumDataAge

        /** The time from which on the number of readers counts. */
        val STEADY = 5.seconds

        /** The time that the deployments allow between the publication of a version and its use by all nodes. */
        val TARGET = 2_500.milliseconds
    }
}
