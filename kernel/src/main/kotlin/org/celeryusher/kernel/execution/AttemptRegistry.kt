package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The bounds of a guard's memory of attempts. */
public data class AttemptLimits(
    public val maximumEntries: Int = 65_536,
    /** Entries that idempotent attempts may take; beyond them they are accepted without being remembered. */
    public val maximumIdempotentEntries: Int = 16_384,
    /** How long after its expiry a guard still knows what became of an attempt. */
    public val retention: Duration = 10.seconds,
)

/**
 * A guard's memory of the attempts that were sent to this life of its process, which keeps copies from running twice or after a "not run".
 *
 * A "not run" is answered only while all of this holds: the attempt names this [life]; no copy has started, which is certain because no
 * entry is dropped before `expiresAt` + retention; and no copy can start later, because the entry stays until then and every copy that
 * comes after `expiresAt` is refused by the clock of this process alone. A copy that names another life, or comes after the entry was
 * dropped, never runs either, but what became of the other copies is unknown to this process and is answered so.
 *
 * When the memory is full, new non-idempotent attempts are refused, and all unknown ones that expire no later than a refused one
 * stay refused: that needs no entry. Not safe for use by several threads; the caller must let no other event in between [start] and the
 * sending to the backend server.
 */
public class AttemptRegistry(
    private val life: Long,
    private val limits: AttemptLimits = AttemptLimits(),
) {
    private class Entry(
        val reference: AttemptReference,
        val idempotent: Boolean,
        var state: AttemptState,
    )

    private val entries = HashMap<AttemptId, Entry>()
    private val byForgetting = PriorityQueue<Pair<Uptime, AttemptId>>(compareBy { it.first })
    private var idempotentEntries = 0
    private var refusedUntilExpiry = Uptime(Long.MIN_VALUE)

    /** The number of attempts that are remembered. */
    public val size: Int get() = entries.size

    /** Decides about a copy of [attempt] that arrives at [now]. */
    public fun arrive(
        attempt: AttemptReference,
        idempotent: Boolean,
        now: Uptime,
    ): AttemptArrival {
        forgetOld(now)
        val known = entries[attempt.id]
        return when {
            attempt.life != life -> AttemptArrival.Refused(otherLife)
            known != null -> AttemptArrival.Duplicate(known.state)
            now >= attempt.expiresAt -> AttemptArrival.Refused(absentAfterExpiry(attempt, now))
            idempotent && hasNoRoomForIdempotent -> AttemptArrival.Accepted
            !idempotent && isFenced(attempt) -> AttemptArrival.Refused(Outcome.NotRun(ErrorKind.OVERLOADED))
            isFull -> AttemptArrival.Refused(refuseAllUpTo(attempt))
            else -> AttemptArrival.Accepted.also { remember(attempt, idempotent, AttemptState.Queued) }
        }
    }

    /** Decides whether the queued [attempt] starts at [now]; after [AttemptStart.Run] it counts as running. */
    public fun start(
        attempt: AttemptReference,
        idempotent: Boolean,
        now: Uptime,
    ): AttemptStart {
        if (attempt.life != life) return AttemptStart.Refused(otherLife)
        val entry = entries[attempt.id]
        if (now >= attempt.expiresAt) return AttemptStart.Refused(settleBeforeStart(entry, attempt, ErrorKind.DEADLINE_BEFORE_START, now))
        return when (val state = entry?.state) {
            null -> if (idempotent) AttemptStart.Run else AttemptStart.Refused(Outcome.Unknown(ErrorKind.INTERNAL))
            AttemptState.Queued -> AttemptStart.Run.also { entry.state = AttemptState.Running }
            AttemptState.Running -> AttemptStart.Refused(Outcome.Unknown(ErrorKind.INTERNAL))
            is AttemptState.Settled -> AttemptStart.Refused(state.outcome)
        }
    }

    /** Records that admission gave the queued [attempt] up for the reason [kind]; returns what to answer. */
    public fun refuse(
        attempt: AttemptReference,
        kind: ErrorKind,
        now: Uptime,
    ): Outcome = settleBeforeStart(entries[attempt.id], attempt, kind, now)

    /** Records how the running attempt [id] ended; ignored unless it is running. */
    public fun finish(
        id: AttemptId,
        outcome: Outcome,
    ) {
        val entry = entries[id] ?: return
        if (entry.state == AttemptState.Running) entry.state = AttemptState.Settled(outcome)
    }

    /** Records that the backend server stopped; returns the attempts that were running, which are now unknown. */
    public fun serverCrashed(): List<AttemptId> {
        val running = entries.values.filter { it.state == AttemptState.Running }
        running.forEach { it.state = AttemptState.Settled(Outcome.Unknown(ErrorKind.SERVER_CRASHED)) }
        return running.map { it.reference.id }
    }

    /**
     * Cancels [attempt] and returns what is proven by that.
     *
     * Before its start the attempt is fenced and "not run". While it runs the answer is "unknown" and the runtime passes the cancel on;
     * the entry stays running until [finish].
     */
    public fun cancel(
        attempt: AttemptReference,
        now: Uptime,
    ): Outcome {
        forgetOld(now)
        if (attempt.life != life) return otherLife
        val entry = entries[attempt.id]
        return when (val state = entry?.state) {
            null -> fenceAbsent(attempt, now)
            AttemptState.Queued -> settleBeforeStart(entry, attempt, ErrorKind.CANCELLED_BEFORE_START, now)
            AttemptState.Running -> Outcome.Unknown(ErrorKind.CANCELLED_WHILE_RUNNING)
            is AttemptState.Settled -> state.outcome
        }
    }

    /**
     * Answers the question of a proxy that lost its connection: what became of [attempt]?
     *
     * An attempt that never came is fenced first, so that a copy which is still on its way cannot run, and then answered "not run".
     */
    public fun resolve(
        attempt: AttemptReference,
        now: Uptime,
    ): AttemptState {
        forgetOld(now)
        if (attempt.life != life) return AttemptState.Settled(otherLife)
        val entry = entries[attempt.id] ?: return AttemptState.Settled(fenceAbsent(attempt, now))
        if (entry.state == AttemptState.Queued && now >= attempt.expiresAt) {
            settleBeforeStart(entry, attempt, ErrorKind.DEADLINE_BEFORE_START, now)
        }
        return entry.state
    }

    private val isFull: Boolean get() = entries.size >= limits.maximumEntries

    private val hasNoRoomForIdempotent: Boolean get() = isFull || idempotentEntries >= limits.maximumIdempotentEntries

    private fun isFenced(attempt: AttemptReference): Boolean = attempt.expiresAt <= refusedUntilExpiry

    private fun remember(
        attempt: AttemptReference,
        idempotent: Boolean,
        state: AttemptState,
    ) {
        entries[attempt.id] = Entry(attempt, idempotent, state)
        if (idempotent) idempotentEntries++
        byForgetting += (attempt.expiresAt + limits.retention) to attempt.id
    }

    private fun fenceAbsent(
        attempt: AttemptReference,
        now: Uptime,
    ): Outcome {
        if (now >= attempt.expiresAt) return absentAfterExpiry(attempt, now)
        if (isFenced(attempt)) return Outcome.NotRun(ErrorKind.OVERLOADED)
        if (isFull) return refuseAllUpTo(attempt)
        val outcome = Outcome.NotRun(ErrorKind.CANCELLED_BEFORE_START)
        remember(attempt, idempotent = false, AttemptState.Settled(outcome))
        return outcome
    }

    private fun absentAfterExpiry(
        attempt: AttemptReference,
        now: Uptime,
    ): Outcome =
        if (now < attempt.expiresAt + limits.retention) {
            Outcome.NotRun(ErrorKind.DEADLINE_BEFORE_START)
        } else {
            Outcome.Unknown(ErrorKind.DEADLINE_WHILE_RUNNING)
        }

    private fun refuseAllUpTo(attempt: AttemptReference): Outcome {
        refusedUntilExpiry = maxOf(refusedUntilExpiry, attempt.expiresAt)
        return Outcome.NotRun(ErrorKind.OVERLOADED)
    }

    private fun settleBeforeStart(
        entry: Entry?,
        attempt: AttemptReference,
        kind: ErrorKind,
        now: Uptime,
    ): Outcome =
        when (val state = entry?.state) {
            null -> if (now >= attempt.expiresAt) absentAfterExpiry(attempt, now) else Outcome.NotRun(kind)
            AttemptState.Queued -> Outcome.NotRun(kind).also { entry.state = AttemptState.Settled(it) }
            AttemptState.Running -> Outcome.Unknown(ErrorKind.INTERNAL)
            is AttemptState.Settled -> state.outcome
        }

    private fun forgetOld(now: Uptime) {
        while (true) {
            val (due, id) = byForgetting.peek() ?: return
            if (due > now) return
            byForgetting.poll()
            forgetOrPostpone(entries.getValue(id), now)
        }
    }

    private fun forgetOrPostpone(
        entry: Entry,
        now: Uptime,
    ) {
        if (entry.state is AttemptState.Settled) {
            entries -= entry.reference.id
            if (entry.idempotent) idempotentEntries--
        } else {
            byForgetting += (now + limits.retention) to entry.reference.id
        }
    }

    private companion object {
        private val otherLife = Outcome.Unknown(ErrorKind.CONNECTION_LOST)
    }
}
