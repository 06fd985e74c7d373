package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Until when a backend server is cold, as its entries and its own answers state it; see [ColdLimit] for which of them counts. */
internal class ColdTime(
    now: Moment,
) {
    private var unknownSince: Moment? = now
    private var entryUntil = Moment.DISTANT_PAST
    private var serverUntil = Moment.DISTANT_PAST
    private var extendedAt = now
    private val statedUntil: Moment get() = maxOf(entryUntil, serverUntil)

    /** Records that the state is unknown from [now] on. */
    fun lost(now: Moment) {
        unknownSince = now
    }

    /** Records that the cold time was extended at [now]. */
    fun extended(now: Moment) {
        extendedAt = now
    }

    /** Returns when the server counts as warm. */
    fun endsAt(policy: ColdPolicy): Moment {
        val unknownUntil = unknownSince?.plus(policy.coldStart) ?: Moment.DISTANT_PAST
        return maxOf(unknownUntil, statedUntil) + END_MARGIN
    }

    fun isCold(
        policy: ColdPolicy,
        now: Moment,
    ): Boolean = now < endsAt(policy)

    /** Returns whether the state is unknown and the server counts as cold. */
    fun isUnknown(
        policy: ColdPolicy,
        now: Moment,
    ): Boolean = unknownSince != null && isCold(policy, now)

    /** Returns whether the state is unknown and no stated cold time lasts at [now]. */
    fun isOnlyUnknown(now: Moment): Boolean = unknownSince != null && now >= statedUntil + END_MARGIN

    /** Returns whether an entry that states [remaining] at [now] is from before the end of a cold time that has passed. */
    fun isLate(
        remaining: Duration,
        policy: ColdPolicy?,
        now: Moment,
    ): Boolean {
        if (policy == null) return false
        // A warm server that becomes cold states more than this first.
        return remaining.isPositive() && !isCold(policy, now) && remaining <= minOf(LATE_REMAINING, policy.coldStart / 2)
    }

    /** Returns whether [remaining], stated at [now], ends later than what was stated before. */
    fun isExtendedBy(
        remaining: Duration,
        now: Moment,
    ): Boolean = remaining.isPositive() && now + remaining > statedUntil

    /** Records that an entry states a cold time until [until], which is later than before. */
    fun extendByEntry(until: Moment) {
        entryUntil = until
    }

    /** Records that an entry states a cold time until [until], unless the cold time was extended so recently that the entry may be older. */
    fun shortenByEntry(
        until: Moment,
        now: Moment,
    ) {
        if (now - extendedAt > ENTRY_DELAY) entryUntil = minOf(entryUntil, until)
    }

    /** Returns whether the answer to a request sent at [sentAt] may be older than the latest extension. */
    fun isOutdated(sentAt: Moment): Boolean = sentAt < extendedAt

    /** Records that the server itself states [remaining] in the answer to a request sent at [sentAt], which ends an unknown state. */
    fun takeFromServer(
        remaining: Duration,
        sentAt: Moment,
        policy: ColdPolicy?,
        now: Moment,
    ) {
        if (remaining.isPositive()) {
            serverUntil = now + remaining
        } else if (policy != null) {
            // The rate rises gradually also when an unknown state turns out to be a warm one.
            serverUntil = minOf(endsAt(policy), sentAt) - END_MARGIN
        }
        entryUntil = Moment.DISTANT_PAST
        unknownSince = null
    }

    private companion object {
        /** The time after the stated end for which the server still counts as cold: the entry was read late, and clocks differ in speed. */
        val END_MARGIN = 300.milliseconds

        /** How long an entry may take from its writer to this node, over the readers of the list: heartbeat, read and relay. */
        val ENTRY_DELAY = 2.seconds

        /** Stated remaining time up to which an entry does not make a warm server cold; the heartbeats of a server are 0.5 s apart. */
        val LATE_REMAINING = 1.seconds
    }
}
