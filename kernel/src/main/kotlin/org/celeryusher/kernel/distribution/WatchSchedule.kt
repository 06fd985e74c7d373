package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One read of the platform. */
public sealed interface SourceRead {
    /** How long the read may take; without an answer until then, it has failed. */
    public val timeout: Duration

    /** Returns whether an answer of the store in [era] answers this read: the position of a watch does not exist in another era. */
    public fun isAnsweredIn(era: Long): Boolean =
        when (this) {
            is Complete -> true
            is Watch -> position.era == era
        }

    /** Reads everything. */
    public data class Complete(
        override val timeout: Duration,
    ) : SourceRead

    /** Waits up to [wait] for changes after [position]. */
    public data class Watch(
        public val position: StorePosition,
        public val wait: Duration,
        override val timeout: Duration,
    ) : SourceRead
}

/** The timing of a [WatchSchedule]. */
public data class WatchSettings(
    /** How long one watch waits for a change. */
    public val wait: Duration = 400.milliseconds,
    /** How much longer than its wait a watch may take: longer than the answer of a slow platform. */
    public val margin: Duration = 400.milliseconds,
    /** How long a complete read may take. */
    public val readTimeout: Duration = 1.seconds,
    /** The number of complete reads after two failed watches in succession: a platform that drops its history or leaves watches silent does so for a while. */
    public val readsWithoutWatch: Int = 8,
)

/**
 * Decides how one node reads one part of the platform's data: by watching for changes, or completely.
 *
 * A watch that gets no answer in time says nothing about the data: a platform can leave its watches without an answer, or cut them, while it
 * answers other reads. After such a watch the data is read completely at once, and after two in succession several times, since each watch
 * that fails costs a call and its whole time. Not thread-safe.
 */
public class WatchSchedule(
    private val settings: WatchSettings = WatchSettings(),
    private val backoff: ReadBackoff = ReadBackoff(),
) {
    private var needsCompleteRead = true
    private var failedWatches = 0
    private var completeReadsLeft = 0

    /** Returns the next read. [position] is that of the data held. */
    public fun next(position: StorePosition): SourceRead =
        if (needsCompleteRead || completeReadsLeft > 0) {
            SourceRead.Complete(settings.readTimeout)
        } else {
            SourceRead.Watch(position, settings.wait, settings.wait + settings.margin)
        }

    /**
     * Records the answer to [read], which was sent at [sentAt], whose answer began to arrive at [begunAt] and was complete at [now].
     *
     * [superseded] is the number of values in the answer that later ones in it replace. Where changes follow each other that fast, a complete read, which
     * returns the latest value only, takes less time on a slow link than a watch.
     *
     * Returns the latest time at which the data is known to have been current. The platform can have taken an answer with changes as soon
     * as the read was sent, but ends a watch without changes only after its wait.
     */
    public fun answered(
        read: SourceRead,
        hasChanges: Boolean,
        sentAt: Moment,
        now: Moment,
        begunAt: Moment = now,
        superseded: Int = 0,
    ): Moment {
        needsCompleteRead = false
        backoff.succeeded()
        if (read is SourceRead.Watch) failedWatches = 0
        if (completeReadsLeft > 0) completeReadsLeft--
        // A watch without changes would be answered after its timeout. A large answer on a slow link does not show that.
        if (begunAt - sentAt > settings.margin && read is SourceRead.Complete) completeReadsLeft = maxOf(completeReadsLeft, 1)
        if (superseded > 0) completeReadsLeft = maxOf(completeReadsLeft, 1)
        return when (read) {
            is SourceRead.Complete -> sentAt
            is SourceRead.Watch -> if (!hasChanges && now - sentAt >= read.wait) sentAt + read.wait else sentAt
        }
    }

    /** Records that the platform no longer has the history after the revision of a watch. */
    public fun historyGone() {
        needsCompleteRead = true
        watchFailed()
    }

    /** Makes the next read a complete one, whose answer does not wait for a change. */
    public fun readCompletely() {
        needsCompleteRead = true
    }

    /** Records that the data was brought up to date by another node, whose answers may lack changes that this node has not seen. */
    public fun relayed() {
        needsCompleteRead = true
        backoff.succeeded()
    }

    /** Records that [read] failed. Returns the pause before the next read, which is at least [retryAfter] up to a limit. */
    public fun failed(
        read: SourceRead,
        retryAfter: Duration,
        random: Random,
    ): Duration {
        needsCompleteRead = true
        if (read is SourceRead.Watch) watchFailed()
        return if (read is SourceRead.Watch && !retryAfter.isPositive()) Duration.ZERO else backoff.failed(random, retryAfter)
    }

    /** Two watches in succession have failed: each cost a call, and time, before the read that answered. */
    private fun watchFailed() {
        failedWatches++
        if (failedWatches > 1) completeReadsLeft = settings.readsWithoutWatch
    }
}
