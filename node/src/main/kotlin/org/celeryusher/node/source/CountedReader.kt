package org.celeryusher.node.source

import org.celeryusher.kernel.distribution.SourceRead
import org.celeryusher.kernel.membership.ServerListChange
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.metrics.ReadCounts
import org.celeryusher.node.metrics.ReadKind
import org.celeryusher.node.metrics.ReadOutcome
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration

/** Counts the reads of [reader] by what they read and how they ended. A read that takes several calls counts as one. Thread-safe. */
internal class CountedReader(
    private val reader: PlatformReader,
    private val clock: ProcessClock,
) : PlatformReader by reader {
    /** A read that got no valid answer, and why. */
    class Failure(
        val kind: ReadKind,
        val reason: String,
        val at: Moment,
    )

    val counts: ReadCounts = ReadCounts()

    /** The latest read that got no valid answer, or null if there was none. */
    @Volatile
    var lastFailure: Failure? = null
        private set

    override suspend fun readOperatorData(read: SourceRead): PlatformReadResult<OperatorData> =
        counted(ReadKind.CONFIGURATION) { reader.readOperatorData(read) }

    override suspend fun readEvacuations(timeout: Duration): PlatformReadResult<OperatorData> =
        counted(ReadKind.EVACUATIONS) { reader.readEvacuations(timeout) }

    override suspend fun readServers(read: SourceRead): PlatformReadResult<List<ServerListChange>> =
        counted(ReadKind.INSTANCES) { reader.readServers(read) }

    private suspend fun <T> counted(
        kind: ReadKind,
        read: suspend () -> PlatformReadResult<T>,
    ): PlatformReadResult<T> {
        // A read whose coroutine is cancelled, as after a pause of the process, has no result.
        var outcome = ReadOutcome.ABANDONED
        try {
            val result = read()
            outcome =
                when (result) {
                    is PlatformReadResult.Value -> ReadOutcome.ANSWERED
                    is PlatformReadResult.HistoryGone -> ReadOutcome.HISTORY_GONE
                    is PlatformReadResult.Unavailable -> ReadOutcome.FAILED
                }
            if (result is PlatformReadResult.Unavailable) lastFailure = Failure(kind, result.reason, clock.now())
            return result
        } finally {
            counts.record(kind, outcome)
        }
    }
}
