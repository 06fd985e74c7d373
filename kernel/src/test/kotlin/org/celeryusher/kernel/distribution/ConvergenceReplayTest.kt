package org.celeryusher.kernel.distribution

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
                ConvergenceReplay(case.nodes, megabitsPerSecond = 7.0, documentBytes = 270_000, compressedBytes = 22_000, changeBytes = 200)
            replay.play(case.versions, case.interval, rest = TARGET)
            assertTrue(replay.longestDelay <= TARGET, "$case: a node was behind for ${replay.longestDelay}")
        }
    }

    private companion object {
        /** The time that the deployments allow between the publication of a version and its use by all nodes. */
        val TARGET = 2_500.milliseconds
    }
}
