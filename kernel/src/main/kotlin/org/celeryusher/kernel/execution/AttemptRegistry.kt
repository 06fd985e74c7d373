package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits on the number of attempts that a guard (the admission control in front of a backend server) tracks, and on how long. */
public data class AttemptLimits(
    public val maximumEntries: Int = 65_536,
    /** Maximum number of entries for idempotent attempts. Further idempotent attempts are accepted without an entry. */
    public val maximumIdempotentEntries: Int = 16_384,
    /** How long the entry of an attempt is kept after the attempt expires. */
    public val retention: Duration = 10.seconds,
)

/**
 * Tracks the attempts sent to this process of a guard, so that no attempt runs twice and none runs after the answer "not run".
 *
 * The registry answers "not run" only while all of the following holds:
 * - The attempt is addressed to this process: its `processStart` equals [processStart].
 * - No copy has started. This is certain because no entry is evicted before `expiresAt` + retention.
 * - No copy can start later. The entry exists until then, and a copy that arrives at or after `expiresAt` is refused by the clock of this
 *   process alone.
 *
 * A copy that is addressed to another process, or that arrives after its entry was evicted, never runs either. This process does not know
 * the result of the other copies in that case, so the answer is "unknown".
 *
 * When the registry is full, it refuses new non-idempotent attempts. Instead of adding an entry for each of them, it keeps only the latest
 * expiry among them, and from then on refuses every non-idempotent attempt without an entry that expires no later.
 *
 * This class is not thread-safe. The caller must process no other event between [start] and the transmission to the backend server.
 */
public class AttemptRegistry(
    private val processStart: Long,
    private val limits: AttemptLimits = AttemptLimits(),
) {
    private class Entry(
        val reference: AttemptReference,
        val idempotent: Boolean,
        var state: AttemptState,
    )

    private val entries = HashMap<AttemptId, Entry>()
    private val evictionQueue = PriorityQueue<Pair<Uptime, AttemptId>>(compareBy { it.first })
    private var idempotentEntries = 0
    private var fencedUntil = Uptime(Long.MIN_VALUE)

    /** The number of tracked attempts. */
    public val size: Int get() = entries.size

    /** Decides what to do with a copy of [attempt] that arrives at [now]. */
    public fun arrive(
        attempt: AttemptReference,
        idempotent: Boolean,
        now: Uptime,
    ): AttemptArrival {
        evictExpired(now)
        val known = entries[attempt.id]
        return when {
            attempt.processStart != processStart -> AttemptArrival.Refused(otherProcessOutcome)
            known != null -> AttemptArrival.Duplicate(known.state)
            now >= attempt.expiresAt -> AttemptArrival.Refused(outcomeWithoutEntry(attempt, now))
            idempotent && isFullForIdempotent -> AttemptArrival.Accepted
            !idempotent && isFenced(attempt) -> AttemptArrival.Refused(Outcome.NotRun(ErrorKind.OVERLOADED))
            isFull -> AttemptArrival.Refused(fenceUpTo(attempt))
            else -> AttemptArrival.Accepted.also { addEntry(attempt, idempotent, AttemptState.Queued) }
        }
    }

    /** Decides whether the queued [attempt] may start at [now]. An attempt that gets [AttemptStart.Run] counts as running from then on. */
    public fun start(
        attempt: AttemptReference,
        idempotent: Boolean,
        now: Uptime,
    ): AttemptStart {
        if (attempt.processStart != processStart) return AttemptStart.Refused(otherProcessOutcome)
        val entry = entries[attempt.id]
        if (now >= attempt.expiresAt) return AttemptStart.Refused(settleBeforeStart(entry, attempt, ErrorKind.DEADLINE_BEFORE_START, now))
        return when (val state = entry?.state) {
            null -> if (idempotent) AttemptStart.Run else AttemptStart.Refused(Outcome.Unknown(ErrorKind.INTERNAL))
            AttemptState.Queued -> AttemptStart.Run.also { entry.state = AttemptState.Running }
            AttemptState.Running -> AttemptStart.Refused(Outcome.Unknown(ErrorKind.INTERNAL))
            is AttemptState.Settled -> AttemptStart.Refused(state.outcome)
        }
    }

    /** Records that admission control refused the queued [attempt] with the error [kind], and returns the outcome to answer. */
    public fun refuse(
        attempt: AttemptReference,
        kind: ErrorKind,
        now: Uptime,
    ): Outcome = settleBeforeStart(entries[attempt.id], attempt, kind, now)

    /** Records the [outcome] of the attempt [id]. Has no effect unless the attempt is running. */
    public fun finish(
        id: AttemptId,
        outcome: Outcome,
    ) {
        val entry = entries[id] ?: return
        if (entry.state == AttemptState.Running) entry.state = AttemptState.Settled(outcome)
    }

    /** Records a crash of the backend server, and returns the attempts that were running. Their outcome is unknown from then on. */
    public fun recordServerCrash(): List<AttemptId> {
        val running = entries.values.filter { it.state == AttemptState.Running }
        running.forEach { it.state = AttemptState.Settled(Outcome.Unknown(ErrorKind.SERVER_CRASHED)) }
        return running.map { it.reference.id }
    }

    /**
     * Cancels [attempt] and returns the outcome that this proves.
     *
     * An attempt that has not started is fenced, and its outcome is "not run". For a running attempt the outcome is "unknown"; the runtime
     * forwards the cancellation, and the entry stays in the running state until [finish].
     */
    public fun cancel(
        attempt: AttemptReference,
        now: Uptime,
    ): Outcome {
        evictExpired(now)
        if (attempt.processStart != processStart) return otherProcessOutcome
        val entry = entries[attempt.id]
        return when (val state = entry?.state) {
            null -> fenceAbsent(attempt, now)
            AttemptState.Queued -> settleBeforeStart(entry, attempt, ErrorKind.CANCELLED_BEFORE_START, now)
            AttemptState.Running -> Outcome.Unknown(ErrorKind.CANCELLED_WHILE_RUNNING)
            is AttemptState.Settled -> state.outcome
        }
    }

    /**
     * Returns the state of [attempt] to a proxy that lost its connection.
     *
     * An attempt that has not arrived is fenced first, so that a copy still in transit cannot run. Its outcome is then "not run".
     */
    public fun resolve(
        attempt: AttemptReference,
        now: Uptime,
    ): AttemptState {
        evictExpired(now)
        if (attempt.processStart != processStart) return AttemptState.Settled(otherProcessOutcome)
        val entry = entries[attempt.id] ?: return AttemptState.Settled(fenceAbsent(attempt, now))
        if (entry.state == AttemptState.Queued && now >= attempt.expiresAt) {
            settleBeforeStart(entry, attempt, ErrorKind.DEADLINE_BEFORE_START, now)
        }
        return entry.state
    }

    private val isFull: Boolean get() = entries.size >= limits.maximumEntries

    private val isFullForIdempotent: Boolean get() = isFull || idempotentEntries >= limits.maximumIdempotentEntries

    private fun isFenced(attempt: AttemptReference): Boolean = attempt.expiresAt <= fencedUntil

    private fun addEntry(
        attempt: AttemptReference,
        idempotent: Boolean,
        state: AttemptState,
    ) {
        entries[attempt.id] = Entry(attempt, idempotent, state)
        if (idempotent) idempotentEntries++
        evictionQueue += (attempt.expiresAt + limits.retention) to attempt.id
    }

    private fun fenceAbsent(
        attempt: AttemptReference,
        now: Uptime,
    ): Outcome {
        if (now >= attempt.expiresAt) return outcomeWithoutEntry(attempt, now)
        if (isFenced(attempt)) return Outcome.NotRun(ErrorKind.OVERLOADED)
        if (isFull) return fenceUpTo(attempt)
        val outcome = Outcome.NotRun(ErrorKind.CANCELLED_BEFORE_START)
        addEntry(attempt, idempotent = false, AttemptState.Settled(outcome))
        return outcome
    }

    private fun outcomeWithoutEntry(
        attempt: AttemptReference,
        now: Uptime,
    ): Outcome =
        if (now < attempt.expiresAt + limits.retention) {
            Outcome.NotRun(ErrorKind.DEADLINE_BEFORE_START)
        } else {
            Outcome.Unknown(ErrorKind.DEADLINE_WHILE_RUNNING)
        }

    private fun fenceUpTo(attempt: AttemptReference): Outcome {
        fencedUntil = maxOf(fencedUntil, attempt.expiresAt)
        return Outcome.NotRun(ErrorKind.OVERLOADED)
    }

    private fun settleBeforeStart(
        entry: Entry?,
        attempt: AttemptReference,
        kind: ErrorKind,
        now: Uptime,
    ): Outcome =
        when (val state = entry?.state) {
            null -> if (now >= attempt.expiresAt) outcomeWithoutEntry(attempt, now) else Outcome.NotRun(kind)
            AttemptState.Queued -> Outcome.NotRun(kind).also { entry.state = AttemptState.Settled(it) }
            AttemptState.Running -> Outcome.Unknown(ErrorKind.INTERNAL)
            is AttemptState.Settled -> state.outcome
        }

    private fun evictExpired(now: Uptime) {
        while (true) {
            val (due, id) = evictionQueue.peek() ?: return
            if (due > now) return
            evictionQueue.poll()
            evictOrPostpone(entries.getValue(id), now)
        }
    }

    private fun evictOrPostpone(
        entry: Entry,
        now: Uptime,
    ) {
        if (entry.state is AttemptState.Settled) {
            entries -= entry.reference.id
            if (entry.idempotent) idempotentEntries--
        } else {
            evictionQueue += (now + limits.retention) to entry.reference.id
        }
    }

    private companion object {
        private val otherProcessOutcome = Outcome.Unknown(ErrorKind.CONNECTION_LOST)
    }
}
