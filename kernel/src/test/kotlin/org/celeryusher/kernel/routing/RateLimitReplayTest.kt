package org.celeryusher.kernel.routing

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against servers that get more calls than they have stated, and against callers that wait for them while others have room. */
class RateLimitReplayTest {
    private data class Case(
        val name: String,
        val proxies: Int,
        val servers: List<LimitedServer>,
        val callsPerSecond: Double,
        val lostReports: Double = 0.0,
        val reportDelay: Duration = 1.milliseconds,
        val leastAnswered: Double = 0.97,
    )

    private val limited = LimitedServer(callsPerSecond = 10.0)

    private val cases =
        listOf(
            Case("few proxies", 12, List(5) { limited } + List(3) { LimitedServer() }, callsPerSecond = 95.0),
            Case("many proxies", 120, List(40) { limited } + List(24) { LimitedServer() }, callsPerSecond = 700.0),
            Case("all servers limited", 12, List(8) { limited }, callsPerSecond = 60.0),
            Case("lost reports", 60, List(20) { limited } + List(12) { LimitedServer() }, callsPerSecond = 350.0, lostReports = 0.7),
            Case(
                "late reports",
                60,
                List(20) { limited } + List(12) { LimitedServer() },
                callsPerSecond = 350.0,
                reportDelay = 800.milliseconds,
            ),
            Case(
                "restarts of guards",
                12,
                List(5) { limited.copy(guardRestarts = listOf(9.seconds, 13.seconds, 15.seconds)) } + List(3) { LimitedServer() },
                callsPerSecond = 90.0,
                leastAnswered = 0.9,
            ),
            Case(
                "restarts of servers",
                12,
                List(5) { limited.copy(serverRestarts = listOf(10.seconds, 17.seconds)) } + List(3) { LimitedServer() },
                callsPerSecond = 90.0,
                leastAnswered = 0.9,
            ),
            Case("overload", 12, List(8) { limited }, callsPerSecond = 200.0, leastAnswered = 0.4),
            Case("very low limits", 12, List(5) { LimitedServer(0.5) } + List(3) { LimitedServer() }, callsPerSecond = 50.0),
        )

    @Test
    fun noServerGetsMoreThanItHasStatedThroughAnyNumberOfProxies() {
        for (case in cases) {
            for (seed in 1..3) {
                val replay = replayOf(case, seed)
                case.servers.forEachIndexed {
                    index,
                    server,
                    ->
                    checkWindows("${case.name}, seed $seed, server $index", replay, index, server)
                }
            }
        }
    }

    @Test
    fun callersAreAnsweredByTheServersThatHaveRoom() {
        for (case in cases) {
            val share = replayOf(case, seed = 4).answeredShare
            assertTrue(share >= case.leastAnswered, "${case.name}: $share of the calls were answered in time")
        }
    }

    private fun replayOf(
        case: Case,
        seed: Int,
    ) = RateLimitReplay(case.proxies, case.servers, case.callsPerSecond, case.lostReports, case.reportDelay, seed).play()

    private fun checkWindows(
        name: String,
        replay: RateLimitReplay,
        index: Int,
        server: LimitedServer,
    ) {
        val from = (replay.firstStated[index] ?: return) + GRACE
        val limit = checkNotNull(server.callsPerSecond) * WINDOW.inWholeSeconds * ALLOWED_FACTOR + ALLOWED_MORE
        val starts = replay.starts[index].filter { it >= from && it < RateLimitReplay.START + server.until }
        for ((first, moment) in starts.withIndex()) {
            val inWindow = starts.drop(first).takeWhile { it <= moment + WINDOW }.size
            assertTrue(inWindow <= limit, "$name got $inWindow calls in $WINDOW from $moment, limit $limit")
        }
    }

    private companion object {
        /** The time after which the platform holds the fleet to a stated limit, and how it counts. */
        val GRACE = 3.seconds
        val WINDOW = 4.seconds
        const val ALLOWED_FACTOR = 1.5
        const val ALLOWED_MORE = 5
    }
}
