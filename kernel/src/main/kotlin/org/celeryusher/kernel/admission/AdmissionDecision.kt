package org.celeryusher.kernel.admission

import org.celeryusher.kernel.error.ErrorKind
import kotlin.time.Duration

/**
 * What the controller decided about one call, with the inputs of the decision for the log.
 *
 * [Start] and [Refuse] are final: each call that arrives gets exactly one of them. [Enqueued] may precede either.
 */
public sealed interface AdmissionDecision<out Key : Any> {
    public val key: Key
    public val inputs: AdmissionInputs

    /** The call is to be sent to the backend server now; [waited] is the time that it spent in the queue. */
    public data class Start<out Key : Any>(
        override val key: Key,
        override val inputs: AdmissionInputs,
        public val waited: Duration,
        public val reason: StartReason,
    ) : AdmissionDecision<Key>

    /** The call waits for a slot, about as long as [estimatedWait]. */
    public data class Enqueued<out Key : Any>(
        override val key: Key,
        override val inputs: AdmissionInputs,
        public val estimatedWait: Duration,
    ) : AdmissionDecision<Key>

    /** The call will not start; [retryAfter] is the time after which the same server may have room for its rank. */
    public data class Refuse<out Key : Any>(
        override val key: Key,
        override val inputs: AdmissionInputs,
        public val cause: RefusalCause,
        public val retryAfter: Duration,
    ) : AdmissionDecision<Key> {
        /** The error to answer with. */
        public val error: ErrorKind get() = cause.error
    }
}

/** The state that a decision was made on, just before it took effect. */
public data class AdmissionInputs(
    public val rankPosition: Int,
    public val running: Int,
    public val limit: Int,
    public val queuedInRank: Int,
    public val queued: Int,
)

/** Why a call starts before the others that wait. */
public enum class StartReason {
    /** A slot was free and nobody waited. */
    FREE_SLOT,

    /** Its rank has received less than its guaranteed share. */
    GUARANTEED_SHARE,

    /** No rank in the queue is owed a share, and its rank is the most urgent of them. */
    URGENCY,

    /** It runs alone, and nothing else runs. */
    ALONE,
}

/** Why a call is refused, and the [error] that answers it. */
public enum class RefusalCause(
    public val error: ErrorKind,
) {
    /** The queue has no place for its rank. */
    QUEUE_FULL(ErrorKind.OVERLOADED),

    /** The queue is full and its rank's part is the longest: a call of another rank took its place. */
    DISPLACED(ErrorKind.OVERLOADED),

    /** The estimated wait at arrival outlasts the deadline. */
    WAIT_OUTLASTS_DEADLINE(ErrorKind.DEADLINE_BEFORE_START),

    /** The deadline has passed, or comes before the call could finish if it started now. */
    DEADLINE_UNREACHABLE(ErrorKind.DEADLINE_BEFORE_START),

    /** The backend server is leaving. */
    DRAINING(ErrorKind.DRAINING),

    /** The caller cancelled before the start. */
    CANCELLED(ErrorKind.CANCELLED_BEFORE_START),
}
