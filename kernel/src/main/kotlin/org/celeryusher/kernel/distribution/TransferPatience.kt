package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The timing of a [TransferPatience]. */
public data class TransferPatienceSettings(
    /** How long an answer that has begun may bring nothing: longer than the parts of other large messages take that share a slow link. */
    public val pause: Duration = 250.milliseconds,
    /** How long an answer may take in all, so that a peer that sends without end is left. */
    public val longest: Duration = 5.seconds,
    /** A check that is later than this shows that the process was held up, so that an answer may have arrived and not been read. */
    public val maximumLateness: Duration = 50.milliseconds,
)

/**
 * Decides how long to wait for one answer: up to [timeout] for it to begin, and then as long as more of it arrives.
 *
 * Addresses slow and full links, on which an answer that is given up while it arrives has cost its bytes and brings nothing, and processes that
 * are held up: they get the time to read what has arrived, once for each answer. Not thread-safe.
 */
public class TransferPatience(
    private val timeout: Duration,
    private val startedAt: Moment,
    private val settings: TransferPatienceSettings = TransferPatienceSettings(),
) {
    private var bytes = 0L
    private var checkAt = startedAt + timeout
    private var wasLate = false

    /** Returns how much longer to wait at [now] when [receivedBytes] of the answer have arrived; zero to give it up. */
    public fun waitAt(
        now: Moment,
        receivedBytes: Long,
    ): Duration {
        if (now < checkAt) return checkAt - now
        val end = startedAt + maxOf(timeout, settings.longest)
        val isLate = now - checkAt > settings.maximumLateness && !wasLate
        wasLate = wasLate || isLate
        if ((receivedBytes <= bytes && !isLate) || now >= end) return Duration.ZERO
        bytes = receivedBytes
        checkAt = minOf(now + settings.pause, end)
        return checkAt - now
    }
}
